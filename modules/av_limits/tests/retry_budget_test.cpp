#include <av_limits/retry_budget.hpp>
#include <av_limits/retry_decision.hpp>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <vector>

using namespace anvilturn;

BOOST_AUTO_TEST_SUITE(retry_budget_suite)

RC_BOOST_PROP(extra_attempts_stay_within_the_retry_ratio, ())
{
    const double ratio = *rc::gen::inRange(0, 50) / 100.0;
    const auto first_attempt_flags =
        *rc::gen::container<std::vector<bool>>(rc::gen::arbitrary<bool>());
    retry_budget budget;
    int first = 0;
    int extra = 0;
    for (const bool first_attempt : first_attempt_flags)
    {
        if (first_attempt)
        {
            budget = after_first_attempt(budget, ratio, 0);
            ++first;
        }
        else if (allows_extra_attempt(budget))
        {
            budget = after_extra_attempt(budget);
            ++extra;
        }
        RC_ASSERT(extra <= ratio * first + 1e-9);
    }
}

BOOST_AUTO_TEST_CASE(tokens_are_capped_at_the_burst)
{
    retry_budget budget;
    for (int i = 0; i < 100000; ++i)
    {
        budget = after_first_attempt(budget, 0.1, 0);
    }
    int extra = 0;
    while (allows_extra_attempt(budget))
    {
        budget = after_extra_attempt(budget);
        ++extra;
    }
    BOOST_TEST(extra == 10);
}

struct retry_case
{
    const char* name_;
    retry_input decision_input_;
    double tokens_;
    retry_action action_;
};

BOOST_AUTO_TEST_CASE(retry_table)
{
    const auto not_run = attempt_execution::proven_not_run;
    const auto may_have = attempt_execution::may_have_run;
    const milliseconds typical(10.0);
    const milliseconds ample(100.0);
    const retry_case cases[] = {
        {"not run, not idempotent",
         {not_run, false, 1, 0, ample, typical},
         1.0,
         retry_action::retry},
        {"may have run, not idempotent",
         {may_have, false, 1, 0, ample, typical},
         9.0,
         retry_action::forbidden},
        {"may have run, idempotent",
         {may_have, true, 1, 0, ample, typical},
         1.0,
         retry_action::retry},
        {"no token",
         {not_run, true, 1, 0, ample, typical},
         0.99,
         retry_action::budget_spent},
        {"third attempt was the last",
         {not_run, true, 3, 0, ample, typical},
         9.0,
         retry_action::budget_spent},
        {"no time left",
         {not_run, true, 1, 0, typical, typical},
         9.0,
         retry_action::too_late},
        {"forbidden even with no time left",
         {may_have, false, 1, 0, typical, typical},
         9.0,
         retry_action::forbidden},
    };
    for (const auto& row : cases)
    {
        BOOST_TEST_CONTEXT(row.name_)
        {
            const auto action =
                decide_retry(row.decision_input_, retry_budget{row.tokens_});
            BOOST_TEST((action == row.action_));
        }
    }
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

BOOST_AUTO_TEST_SUITE_END()
