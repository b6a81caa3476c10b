#include <av_limits/retry_after.hpp>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace anvilturn;

BOOST_AUTO_TEST_SUITE(retry_after_suite)

RC_BOOST_PROP(retry_after_is_at_most_a_third_of_the_time_left, ())
{
    const milliseconds left(*rc::gen::inRange(100, 20000));
    const double random = *rc::gen::inRange(0, 1000) / 1000.0;
    const auto delay = retry_after_delay(left, random);
    RC_ASSERT(delay <= left * (1.0 / 3.0) || delay == immediate_retry_after);
    RC_ASSERT(delay >= immediate_retry_after);
    const auto soon = shed_retry_after_delay(left, random);
    RC_ASSERT(soon <= left * (1.0 / 3.0) || soon == immediate_retry_after);
    RC_ASSERT(soon >= immediate_retry_after);
    RC_ASSERT(soon <= milliseconds(120.0));
}

BOOST_AUTO_TEST_SUITE_END()
