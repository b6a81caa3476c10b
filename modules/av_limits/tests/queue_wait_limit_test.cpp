#include <av_limits/call_queue.hpp>
#include <av_limits/load_profile.hpp>
#include <av_limits/queue_wait_limit.hpp>
#include <av_limits/retry_budget.hpp>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace anvilturn;

namespace
{

load_profile profile_of(const std::vector<double>& times, int samples = 50)
{
    load_profile profile;
    for (int round = 0; round < samples; ++round)
    {
        for (std::size_t load = 0; load < times.size(); ++load)
        {
            profile = after_call(profile,
                                 static_cast<int>(load),
                                 1.0,
                                 milliseconds(times[load]));
        }
    }
    return profile;
}

} // namespace

BOOST_AUTO_TEST_SUITE(queue_wait_limit_suite)

BOOST_AUTO_TEST_CASE(wait_limit_follows_the_latency_objective)
{
    wait_limit_input input;
    input.arrived_ = milliseconds(1000.0);
    input.began_ = milliseconds(1000.0);
    input.deadline_ = milliseconds(4000.0);
    input.latency_objective_ = milliseconds(300.0);
    input.typical_time_ = milliseconds(120.0);
    BOOST_TEST((queue_wait_deadline(input) == milliseconds(1180.0)));
    // A call that can no longer meet its objective waits for the minimum.
    input.typical_time_ = milliseconds(290.0);
    BOOST_TEST((queue_wait_deadline(input) == milliseconds(1037.5)));
    input.latency_objective_ = milliseconds(0.0);
    BOOST_TEST((queue_wait_deadline(input) == milliseconds(3710.0)));
}

// Calls that were pending until their VM had its configuration: the time for
// load queries to targets comes after that.
BOOST_AUTO_TEST_CASE(call_pending_at_startup_still_waits_for_a_target)
{
    wait_limit_input input;
    input.arrived_ = milliseconds(1000.0);
    input.began_ = milliseconds(1200.0);
    input.deadline_ = milliseconds(3000.0);
    input.latency_objective_ = milliseconds(300.0);
    input.typical_time_ = milliseconds(120.0);
    BOOST_TEST((queue_wait_deadline(input) == milliseconds(1237.5)));
    input.began_ = milliseconds(1400.0);
    BOOST_TEST((queue_wait_deadline(input) == milliseconds(1880.0)));
}

RC_BOOST_PROP(wait_limit_leaves_the_typical_time_before_the_deadline, ())
{
    wait_limit_input input;
    input.arrived_ = milliseconds(*rc::gen::inRange(0, 100000));
    input.began_ = input.arrived_;
    input.deadline_ =
        input.arrived_ + milliseconds(*rc::gen::inRange(1, 20000));
    input.latency_objective_ = milliseconds(*rc::gen::inRange(0, 5000));
    input.typical_time_ = milliseconds(*rc::gen::inRange(0, 5000));
    RC_ASSERT(queue_wait_deadline(input) <=
              input.deadline_ - input.typical_time_);
}

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

// Targets whose calls take 1.7 times as long once four of six slots are busy.
BOOST_AUTO_TEST_CASE(
    best_concurrency_is_lower_for_targets_slow_when_nearly_full)
{
    const auto profile = profile_of({112, 114, 124, 123, 200, 200});
    BOOST_TEST(best_concurrency(profile, 6) == 4);
}

BOOST_AUTO_TEST_CASE(best_concurrency_is_all_slots_without_slowdown)
{
    BOOST_TEST(
        best_concurrency(profile_of({120, 121, 119, 125, 122, 124}), 6) == 6);
    BOOST_TEST(best_concurrency(load_profile(), 6) == 6);
    // Two slow calls per level are too few samples.
    BOOST_TEST(best_concurrency(profile_of({100, 100, 100, 100, 300, 300}, 2),
                                6) == 6);
}

BOOST_AUTO_TEST_CASE(reported_slowdown_is_divided_out_of_the_profile)
{
    load_profile profile;
    for (int i = 0; i < 40; ++i)
    {
        profile = after_call(profile, 0, 5.0, milliseconds(500.0));
        profile = after_call(profile, 1, 1.0, milliseconds(100.0));
    }
    BOOST_TEST(typical_time(profile).count() == 100.0,
               boost::test_tools::tolerance(0.01));
}

// Many failures at many VMs: all extra attempts together stay within the ratio
// plus the sum of the bursts, whatever the number of VMs.
BOOST_AUTO_TEST_CASE(extra_attempts_of_all_vms_stay_within_ratio_and_bursts)
{
    constexpr int vms = 24;
    constexpr int calls = 100;
    constexpr double ratio = 0.2;
    constexpr double burst = 1.5;
    int extra = 0;
    for (int vm = 0; vm < vms; ++vm)
    {
        retry_budget budget;
        for (int call = 0; call < calls; ++call)
        {
            budget = after_first_attempt(budget, ratio, 0, burst);
            while (allows_extra_attempt(budget))
            {
                budget = after_extra_attempt(budget);
                ++extra;
            }
        }
    }
    BOOST_TEST(extra <= vms * (calls * ratio + burst));
    BOOST_TEST(extra >= vms * (calls * ratio - 1.0));
}

BOOST_AUTO_TEST_CASE(peek_returns_the_call_that_pop_removes)
{
    call_queue<int> queue(100);
    BOOST_TEST(queue.peek() == nullptr);
    for (int i = 0; i < 60; ++i)
    {
        queue.push(i, static_cast<traffic_class>(i % 3), milliseconds(1.0));
    }
    while (!queue.empty())
    {
        const int next = *queue.peek();
        BOOST_TEST(*queue.pop() == next);
    }
}

BOOST_AUTO_TEST_SUITE_END()
