#include <av_proxy/relay_allowance.hpp>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

namespace anvilturn
{

BOOST_AUTO_TEST_SUITE(relay_allowances)

BOOST_AUTO_TEST_CASE(a_few_calls_have_the_whole_buffer)
{
    request_path_settings settings;
    settings.threads_ = 2;
    BOOST_TEST(relay_allowance(settings, 0) == settings.relay_buffer_bytes_);
    BOOST_TEST(relay_allowance(settings, 64) == settings.relay_buffer_bytes_);
}

RC_BOOST_PROP(all_calls_together_keep_the_limit, ())
{
    constexpr int max_threads = 64;
    constexpr int max_calls = 60;
    request_path_settings settings;
    settings.threads_ =
        static_cast<std::size_t>(*rc::gen::inRange(1, max_threads));
    const int calls = *rc::gen::inRange(1, max_calls);
    const auto all = static_cast<std::size_t>(calls) * settings.threads_;
    const auto allowance = relay_allowance(settings, calls);
    RC_ASSERT(allowance > 0U);
    RC_ASSERT(allowance <= settings.relay_buffer_bytes_);
    RC_ASSERT(allowance * all <= settings.relay_memory_bytes_);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace anvilturn
