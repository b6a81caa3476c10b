#include <av_proxy/response_buffer_limit.hpp>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

namespace anvilturn
{

BOOST_AUTO_TEST_SUITE(response_buffer_limits)

// Guards against small reads, which cost CPU time, while memory is ample.
BOOST_AUTO_TEST_CASE(a_few_calls_have_the_whole_buffer)
{
    request_path_settings settings;
    settings.threads_ = 2;
    BOOST_TEST(response_buffer_limit(settings, 0) ==
               settings.relay_buffer_bytes_);
    BOOST_TEST(response_buffer_limit(settings, 64) ==
               settings.relay_buffer_bytes_);
}

// Guards against memory that grows with the calls.
RC_BOOST_PROP(all_calls_together_keep_the_limit, ())
{
    constexpr int max_threads = 64;
    constexpr int max_calls = 60;
    request_path_settings settings;
    settings.threads_ =
        static_cast<std::size_t>(*rc::gen::inRange(1, max_threads));
    const int calls = *rc::gen::inRange(1, max_calls);
    const auto all = static_cast<std::size_t>(calls) * settings.threads_;
    const auto limit = response_buffer_limit(settings, calls);
    RC_ASSERT(limit > 0U);
    RC_ASSERT(limit <= settings.relay_buffer_bytes_);
    RC_ASSERT(limit * all <= settings.relay_memory_bytes_);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace anvilturn
