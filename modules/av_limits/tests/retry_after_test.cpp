#include <av_limits/retry_after.hpp>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace anvilturn;

namespace
{

retry_after_input drawn_input()
{
    retry_after_input input;
    input.time_left_ = milliseconds(*rc::gen::inRange(100, 20000));
    input.random_ = *rc::gen::inRange(0, 1000) / 1000.0;
    return input;
}

} // namespace

BOOST_AUTO_TEST_SUITE(retry_after_suite)

// Callers wait no longer than that.
RC_BOOST_PROP(retry_after_is_at_most_a_third_of_the_time_left, ())
{
    auto input = drawn_input();
    if (*rc::gen::arbitrary<bool>())
    {
        input.expected_wait_ = milliseconds(*rc::gen::inRange(0, 20000));
    }
    const auto longest = input.time_left_ * (1.0 / 3.0);
    const auto delay = retry_after_delay(input);
    RC_ASSERT(delay <= longest || delay == immediate_retry_after);
    RC_ASSERT(delay >= immediate_retry_after);
    const milliseconds work_time(*rc::gen::inRange(0, 5000));
    const auto soon =
        shed_retry_after_delay(input.time_left_, work_time, input.random_);
    RC_ASSERT(soon <= longest || soon == immediate_retry_after);
    RC_ASSERT(soon >= immediate_retry_after);
}

// A caller is not kept away for longer than the calls ahead of it take.
RC_BOOST_PROP(retry_after_is_never_longer_than_the_wait_for_room, ())
{
    auto input = drawn_input();
    const milliseconds wait(*rc::gen::inRange(0, 20000));
    input.expected_wait_ = wait;
    const auto delay = retry_after_delay(input);
    RC_ASSERT(delay <= wait || delay == immediate_retry_after);
}

RC_BOOST_PROP(more_calls_ahead_never_shorten_the_delay, ())
{
    auto input = drawn_input();
    const milliseconds wait(*rc::gen::inRange(0, 20000));
    input.expected_wait_ = wait;
    const auto delay = retry_after_delay(input);
    input.expected_wait_ = wait + milliseconds(*rc::gen::inRange(0, 20000));
    RC_ASSERT(retry_after_delay(input) >= delay);
}

// Calls that are refused together because too many others wait.
BOOST_AUTO_TEST_CASE(delays_are_spread_over_half_of_the_wait)
{
    retry_after_input input;
    input.time_left_ = milliseconds(3000.0);
    input.expected_wait_ = milliseconds(400.0);
    BOOST_TEST((retry_after_delay(input) == milliseconds(200.0)));
    input.random_ = 1.0;
    BOOST_TEST((retry_after_delay(input) == milliseconds(400.0)));
    input.expected_wait_.reset();
    BOOST_TEST((retry_after_delay(input) == milliseconds(1000.0)));
}

// Targets that refuse a part of their calls whatever their load.
BOOST_AUTO_TEST_CASE(delay_after_a_refusal_with_room_is_one_call_at_most)
{
    const milliseconds left(3000.0);
    const milliseconds work_time(120.0);
    BOOST_TEST((shed_retry_after_delay(left, work_time, 0.0) ==
                immediate_retry_after));
    BOOST_TEST((shed_retry_after_delay(left, work_time, 1.0) ==
                immediate_retry_after + work_time));
}

BOOST_AUTO_TEST_SUITE_END()
