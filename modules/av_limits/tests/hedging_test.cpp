#include <av_limits/hedging.hpp>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <functional>
#include <vector>

using namespace anvilturn;

namespace
{

// A call of 40 ms that began 30 ms ago at a target which was slowed by 5, while
// another target has room.
hedge_input call_at_slowed_target()
{
    hedge_input input;
    input.idempotent_ = true;
    input.replayable_ = true;
    input.max_attempts_ = 3;
    input.slowdown_at_start_ = 5.0;
    input.started_at_ = milliseconds(1000.0);
    input.deadline_ = milliseconds(2000.0);
    input.work_time_ = milliseconds(40.0);
    hedge_target better;
    better.load_ = 1;
    better.slots_ = 4;
    better.report_age_ = milliseconds(3.0);
    input.better_ = better;
    input.retries_ = {1.5};
    input.retry_burst_ = 1.5;
    input.hedges_ = {1.0};
    return input;
}

constexpr milliseconds now{1030.0};

struct decision_case
{
    const char* load_;
    std::function<void(hedge_input&)> change_;
    hedge_action action_;
};

void check_cases(const std::vector<decision_case>& cases)
{
    for (const auto& row : cases)
    {
        BOOST_TEST_CONTEXT(row.load_)
        {
            auto input = call_at_slowed_target();
            row.change_(input);
            BOOST_TEST((decide_hedge(input, now) == row.action_));
        }
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(hedging_suite)

// Guards against a missed hedge where it helps, and against repeating the calls
// of a service that is slow as a whole.
BOOST_AUTO_TEST_CASE(calls_at_a_slow_target_are_hedged)
{
    check_cases({
        {"a target slowed while others are not",
         [](hedge_input&) {},
         hedge_action::send},
        {"a target that was as fast as usual",
         [](hedge_input& input)
         {
             input.slowdown_at_start_ = 1.4;
         },
         hedge_action::never},
        {"all targets slowed",
         [](hedge_input& input)
         {
             input.better_->slowdown_ = 5.0;
         },
         hedge_action::wait},
    });
}

// Guards against a call that runs more often than its rule allows.
BOOST_AUTO_TEST_CASE(calls_that_must_not_run_again_are_never_hedged)
{
    check_cases({
        {"a call that is not idempotent",
         [](hedge_input& input)
         {
             input.idempotent_ = false;
         },
         hedge_action::never},
        {"an upload that is larger than the buffer",
         [](hedge_input& input)
         {
             input.replayable_ = false;
         },
         hedge_action::never},
        {"a rule with one attempt",
         [](hedge_input& input)
         {
             input.max_attempts_ = 1;
         },
         hedge_action::never},
        {"a call that was retried up to its limit",
         [](hedge_input& input)
         {
             input.possible_runs_ = 3;
         },
         hedge_action::never},
        {"a call made by a target, whose caller may hedge as well",
         [](hedge_input& input)
         {
             input.depth_ = 1;
         },
         hedge_action::never},
    });
}

// Guards against hedges that come too late to help: a call that is long at any
// target, and a deadline that passes meanwhile.
BOOST_AUTO_TEST_CASE(hedges_that_come_too_late_are_not_sent)
{
    check_cases({
        {"a call longer than the slow target explains",
         [](hedge_input& input)
         {
             input.started_at_ = now - milliseconds(165.0);
         },
         hedge_action::never},
        {"a call that is within the time the slow target explains",
         [](hedge_input& input)
         {
             input.started_at_ = now - milliseconds(155.0);
         },
         hedge_action::send},
        {"a deadline before the repetition could end",
         [](hedge_input& input)
         {
             input.deadline_ = now + milliseconds(40.0);
         },
         hedge_action::never},
        {"a deadline after the repetition ends",
         [](hedge_input& input)
         {
             input.deadline_ = now + milliseconds(41.0);
         },
         hedge_action::send},
        {"a rule whose work is not known yet",
         [](hedge_input& input)
         {
             input.work_time_ = milliseconds(0.0);
         },
         hedge_action::never},
    });
}

// Guards against hedges that take capacity which others need, or that go where
// no call may go.
BOOST_AUTO_TEST_CASE(hedges_go_only_to_targets_with_room)
{
    check_cases({
        {"calls of the service wait at this VM",
         [](hedge_input& input)
         {
             input.waiting_calls_ = 1;
         },
         hedge_action::wait},
        {"no other target is known",
         [](hedge_input& input)
         {
             input.better_.reset();
         },
         hedge_action::wait},
        {"another target would be full with the call",
         [](hedge_input& input)
         {
             input.better_->load_ = 3;
         },
         hedge_action::wait},
        {"no report of another target",
         [](hedge_input& input)
         {
             input.better_->report_age_.reset();
         },
         hedge_action::wait},
        {"an old report of another target",
         [](hedge_input& input)
         {
             input.better_->report_age_ = milliseconds(51.0);
         },
         hedge_action::wait},
        {"a failure domain that restarted, whose targets are cold",
         [](hedge_input& input)
         {
             input.better_->cold_ = true;
         },
         hedge_action::wait},
        {"a failure domain that is evacuated",
         [](hedge_input& input)
         {
             input.better_->evacuated_ = true;
         },
         hedge_action::wait},
    });
}

// Guards against extra load beyond the limits.
BOOST_AUTO_TEST_CASE(hedges_need_budgets_and_a_permit)
{
    check_cases({
        {"as many slow targets as the hedge budget covers",
         [](hedge_input& input)
         {
             input.hedges_ = {0.99};
         },
         hedge_action::budget_spent},
        {"failures that have used the retry budget",
         [](hedge_input& input)
         {
             input.retries_ = {1.3};
         },
         hedge_action::budget_spent},
        {"an account with a quota",
         [](hedge_input& input)
         {
             input.needs_permit_ = true;
         },
         hedge_action::request_permit},
        {"an account with a quota and a permit",
         [](hedge_input& input)
         {
             input.needs_permit_ = true;
             input.has_permit_ = true;
         },
         hedge_action::send},
    });
}

// Guards against hedges that leave nothing for the retries of failed calls.
BOOST_AUTO_TEST_CASE(hedges_leave_a_part_of_the_retry_budget)
{
    BOOST_TEST(leaves_retry_reserve(retry_budget{3.5}, 10.0));
    BOOST_TEST(!leaves_retry_reserve(retry_budget{3.4}, 10.0));
    BOOST_TEST(!leaves_retry_reserve(retry_budget{1.0}, 1.0));
}

// Guards against the repetition of calls that end soon by themselves.
BOOST_AUTO_TEST_CASE(the_first_check_comes_after_a_tenth_of_the_work_time)
{
    auto input = call_at_slowed_target();
    BOOST_TEST((first_hedge_check(input) == milliseconds(1004.0)));
    input.slowdown_at_start_ = 1.0;
    BOOST_TEST(!first_hedge_check(input).has_value());
    input = call_at_slowed_target();
    input.idempotent_ = false;
    BOOST_TEST(!first_hedge_check(input).has_value());
    input = call_at_slowed_target();
    input.work_time_ = milliseconds(0.0);
    BOOST_TEST(!first_hedge_check(input).has_value());
}

// Guards against bursts of hedges when a whole failure domain slows down: in
// any window of calls there are at most the ratio times the calls, plus one.
RC_BOOST_PROP(hedges_stay_within_the_ratio_in_any_window, ())
{
    const double ratio = *rc::gen::inRange(0, 101) / 100.0;
    const auto wants_hedge =
        *rc::gen::container<std::vector<bool>>(500, rc::gen::arbitrary<bool>());
    hedge_budget budget;
    std::vector<int> hedges;
    for (const bool wants : wants_hedge)
    {
        budget = after_call_begun(budget, ratio);
        int sent = 0;
        // Calls that began earlier may ask for a hedge at the same time.
        for (int asked = 0; wants && asked < 5; ++asked)
        {
            if (allows_hedge(budget))
            {
                budget = after_hedge(budget);
                ++sent;
            }
        }
        hedges.push_back(sent);
    }
    for (std::size_t from = 0; from < hedges.size(); ++from)
    {
        int sent = 0;
        for (std::size_t to = from; to < hedges.size(); ++to)
        {
            sent += hedges[to];
            const double calls = static_cast<double>(to - from + 1);
            RC_ASSERT(sent <= ratio * calls + 1.0 + 1e-9);
        }
    }
}

BOOST_AUTO_TEST_CASE(a_ratio_of_zero_allows_no_hedge)
{
    hedge_budget budget;
    for (int call = 0; call < 1000; ++call)
    {
        budget = after_call_begun(budget, 0.0);
    }
    BOOST_TEST(!allows_hedge(budget));
}

BOOST_AUTO_TEST_SUITE_END()
