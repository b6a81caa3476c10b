#include <av_limits/call_queue.hpp>
#include <av_limits/load_profile.hpp>
#include <av_limits/patience.hpp>
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

BOOST_AUTO_TEST_SUITE(waiting_and_refusing)

BOOST_AUTO_TEST_CASE(a_call_waits_as_long_as_it_can_meet_its_objective)
{
    wait_facts facts;
    facts.arrived_ = milliseconds(1000.0);
    facts.began_ = milliseconds(1000.0);
    facts.deadline_ = milliseconds(4000.0);
    facts.objective_ = milliseconds(300.0);
    facts.usual_time_ = milliseconds(120.0);
    BOOST_TEST((give_up_point(facts) == milliseconds(1180.0)));
    // A call that would miss its objective already still waits for the minimum.
    facts.usual_time_ = milliseconds(290.0);
    BOOST_TEST((give_up_point(facts) == milliseconds(1037.5)));
    facts.objective_ = milliseconds(0.0);
    BOOST_TEST((give_up_point(facts) == milliseconds(3710.0)));
}

// Callers that were refused during a burst and retry while it lasts.
BOOST_AUTO_TEST_CASE(a_caller_that_comes_back_late_waits_for_what_is_left)
{
    const milliseconds longest(2500.0);
    BOOST_TEST((time_spent_before(longest, milliseconds(2480.0)) ==
                milliseconds(0.0)));
    wait_facts facts;
    facts.arrived_ = milliseconds(1000.0);
    facts.began_ = milliseconds(1000.0);
    facts.deadline_ = milliseconds(2600.0);
    facts.objective_ = milliseconds(300.0);
    facts.usual_time_ = milliseconds(120.0);
    facts.spent_before_ = time_spent_before(longest, milliseconds(1600.0));
    BOOST_TEST((facts.spent_before_ == milliseconds(900.0)));
    BOOST_TEST((give_up_point(facts) == milliseconds(1480.0)));
    // A caller that retries soon can still meet the objective.
    facts.spent_before_ = milliseconds(80.0);
    BOOST_TEST((give_up_point(facts) == milliseconds(1100.0)));
}

// Calls that were pending until their VM had its configuration: the time for
// load queries to targets comes after that.
BOOST_AUTO_TEST_CASE(a_call_that_was_held_at_the_start_still_waits_for_a_target)
{
    wait_facts facts;
    facts.arrived_ = milliseconds(1000.0);
    facts.began_ = milliseconds(1200.0);
    facts.deadline_ = milliseconds(3000.0);
    facts.objective_ = milliseconds(300.0);
    facts.usual_time_ = milliseconds(120.0);
    BOOST_TEST((give_up_point(facts) == milliseconds(1237.5)));
    facts.began_ = milliseconds(1400.0);
    BOOST_TEST((give_up_point(facts) == milliseconds(1880.0)));
}

RC_BOOST_PROP(no_call_waits_beyond_what_its_deadline_allows, ())
{
    wait_facts facts;
    facts.arrived_ = milliseconds(*rc::gen::inRange(0, 100000));
    facts.began_ = facts.arrived_;
    facts.deadline_ =
        facts.arrived_ + milliseconds(*rc::gen::inRange(1, 20000));
    facts.objective_ = milliseconds(*rc::gen::inRange(0, 5000));
    facts.usual_time_ = milliseconds(*rc::gen::inRange(0, 5000));
    facts.spent_before_ = milliseconds(*rc::gen::inRange(0, 20000));
    RC_ASSERT(give_up_point(facts) <= facts.deadline_ - facts.usual_time_);
}

RC_BOOST_PROP(callers_come_back_within_a_third_of_their_time, ())
{
    const milliseconds left(*rc::gen::inRange(100, 20000));
    const double random = *rc::gen::inRange(0, 1000) / 1000.0;
    const auto delay = delay_before_return(left, random);
    RC_ASSERT(delay <= left * (1.0 / 3.0) || delay == return_at_once);
    RC_ASSERT(delay >= return_at_once);
    const auto soon = delay_after_shedding(left, random);
    RC_ASSERT(soon <= left * (1.0 / 3.0) || soon == return_at_once);
    RC_ASSERT(soon >= return_at_once);
    RC_ASSERT(soon <= milliseconds(120.0));
}

// Targets whose calls take 1.7 times as long once four of six slots are busy.
BOOST_AUTO_TEST_CASE(targets_that_slow_down_when_nearly_full_get_fewer_calls)
{
    const auto profile = profile_of({112, 114, 124, 123, 200, 200});
    BOOST_TEST(best_concurrency(profile, 6) == 4);
}

BOOST_AUTO_TEST_CASE(targets_that_do_not_slow_down_are_filled)
{
    BOOST_TEST(
        best_concurrency(profile_of({120, 121, 119, 125, 122, 124}), 6) == 6);
    BOOST_TEST(best_concurrency(load_profile(), 6) == 6);
    // Two slow calls per level are too few samples.
    BOOST_TEST(best_concurrency(profile_of({100, 100, 100, 100, 300, 300}, 2),
                                6) == 6);
}

BOOST_AUTO_TEST_CASE(neighbours_on_the_machine_do_not_count)
{
    load_profile profile;
    for (int i = 0; i < 40; ++i)
    {
        profile = after_call(profile, 0, 5.0, milliseconds(500.0));
        profile = after_call(profile, 1, 1.0, milliseconds(100.0));
    }
    BOOST_TEST(usual_time(profile).count() == 100.0,
               boost::test_tools::tolerance(0.01));
}

// Many failures at many VMs: all extra attempts together stay within the ratio
// plus the sum of the bursts, whatever the number of VMs.
BOOST_AUTO_TEST_CASE(extra_attempts_of_all_vms_add_up)
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
            while (may_spend(budget))
            {
                budget = after_extra_attempt(budget);
                ++extra;
            }
        }
    }
    BOOST_TEST(extra <= vms * (calls * ratio + burst));
    BOOST_TEST(extra >= vms * (calls * ratio - 1.0));
}

BOOST_AUTO_TEST_CASE(peek_names_the_call_that_pop_takes)
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
