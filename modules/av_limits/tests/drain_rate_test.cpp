#include <av_limits/drain_rate.hpp>

#include <boost/test/unit_test.hpp>

using namespace anvilturn;

BOOST_AUTO_TEST_SUITE(drain_rate_suite)

namespace
{

drain_rate rate_with_interval(double interval_ms)
{
    drain_rate rate;
    for (int i = 0; i < 50; ++i)
    {
        rate = after_dequeue(rate, 3, milliseconds(i * interval_ms));
    }
    return rate;
}

} // namespace

BOOST_AUTO_TEST_CASE(interval_is_that_of_the_dequeues)
{
    const auto rate = rate_with_interval(2.0);
    BOOST_TEST(mean_interval(rate).count() == 2.0,
               boost::test_tools::tolerance(1e-9));
    BOOST_TEST((mean_interval(drain_rate()) == milliseconds(0.0)));
}

BOOST_AUTO_TEST_CASE(interval_is_not_updated_while_no_call_waits)
{
    auto rate = rate_with_interval(2.0);
    rate = after_dequeue(rate, 0, milliseconds(100.0));
    rate = after_dequeue(rate, 5, milliseconds(60000.0));
    BOOST_TEST(mean_interval(rate).count() == 2.0,
               boost::test_tools::tolerance(1e-9));
}

// The last waiting call was refused or withdrawn, and nobody waited for a
// while.
BOOST_AUTO_TEST_CASE(time_without_waiting_calls_does_not_count)
{
    auto rate = rate_with_interval(2.0);
    const auto later = rate.last_dequeue_at_ + milliseconds(500.0);
    rate = at_first_wait(rate, later);
    rate = after_dequeue(rate, 0, later + milliseconds(300.0));
    BOOST_TEST(mean_interval(rate).count() == 2.0,
               boost::test_tools::tolerance(1e-9));
}

// Calls were served slowly a minute ago. Several that come together now find
// free slots, and must not be refused for that.
BOOST_AUTO_TEST_CASE(old_rate_is_not_used)
{
    auto rate = rate_with_interval(700.0);
    BOOST_TEST(mean_interval(rate).count() == 700.0,
               boost::test_tools::tolerance(1e-9));
    auto now = rate.last_dequeue_at_;
    for (int second = 0; second < 60; ++second)
    {
        now = now + milliseconds(1000.0);
        rate = at_first_wait(rate, now);
        rate = after_dequeue(rate, 0, now);
    }
    BOOST_TEST((mean_interval(rate) == milliseconds(0.0)));
}

// All targets were away for five seconds and are back; the calls that waited
// for them must not be refused by the rate of that time.
BOOST_AUTO_TEST_CASE(pause_is_not_taken_for_the_rate_after_it)
{
    auto rate = rate_with_interval(50.0);
    auto now = rate.last_dequeue_at_ + milliseconds(5000.0);
    rate = after_dequeue(rate, 5, now);
    BOOST_TEST((mean_interval(rate) == milliseconds(0.0)));
    now = now + milliseconds(20.0);
    rate = after_dequeue(rate, 4, now);
    BOOST_TEST(mean_interval(rate).count() == 20.0,
               boost::test_tools::tolerance(1e-9));
}

BOOST_AUTO_TEST_SUITE_END()
