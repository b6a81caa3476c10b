#include <av_core/log_rate_limiter.hpp>

#include <boost/test/unit_test.hpp>

using namespace anvilturn;

BOOST_AUTO_TEST_SUITE(log_rate_limiters)

BOOST_AUTO_TEST_CASE(routine_lines_do_not_use_tokens_of_urgent_lines)
{
    log_rate_limiter limiter;
    int written = 0;
    for (int i = 0; i < 10000; ++i)
    {
        written += admit_line(limiter, "call_sent", false, milliseconds(1.0));
    }
    BOOST_TEST(written <= log_line_burst);
    BOOST_TEST(admit_line(limiter, "store_lost", true, milliseconds(1.0)));
}

BOOST_AUTO_TEST_CASE(line_rate_is_limited_and_each_dropped_line_is_reported)
{
    constexpr int lines = 20000;
    constexpr double seconds = 10.0;
    log_rate_limiter limiter;
    std::uint64_t written = 0;
    std::uint64_t reported = 0;
    for (int i = 0; i < lines; ++i)
    {
        const milliseconds now(i * seconds * 1000.0 / lines);
        written += admit_line(limiter, "call_sent", false, now) ? 1 : 0;
        const auto dropped = take_dropped_lines(limiter, now);
        reported += dropped ? dropped->second : 0;
    }
    const auto rest = take_dropped_lines(limiter, milliseconds(1e6));
    reported += rest ? rest->second : 0;
    BOOST_TEST(written <= log_line_burst + seconds * log_lines_per_second);
    BOOST_TEST(written + reported == lines);
}

BOOST_AUTO_TEST_CASE(dropped_lines_are_reported_per_event)
{
    log_rate_limiter limiter;
    count_dropped_line(limiter, "call_sent");
    count_dropped_line(limiter, "call_ended");
    count_dropped_line(limiter, "call_ended");
    const auto first = take_dropped_lines(limiter, milliseconds(1000.0));
    BOOST_TEST_REQUIRE(first.has_value());
    BOOST_TEST(first->first == "call_ended");
    BOOST_TEST(first->second == 2U);
    BOOST_TEST(!take_dropped_lines(limiter, milliseconds(1001.0)).has_value());
    BOOST_TEST(take_dropped_lines(limiter, milliseconds(2000.0)).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
