#ifndef AV_LIMITS_RETRY_DECISION_HPP
#define AV_LIMITS_RETRY_DECISION_HPP

#include <av_core/milliseconds.hpp>
#include <av_limits/retry_budget.hpp>

namespace anvilturn
{

// How one attempt at a target ended without an answer for the caller.
enum class attempt_execution
{
    // No byte of the attempt left, or the target refused in the agreed form.
    proved_not_run,
    // The attempt may have run.
    may_have_run
};

// What is known when an attempt failed.
struct retry_input
{
    attempt_execution end_ = attempt_execution::may_have_run;
    // Whether a rule of the release says that the call may run twice.
    bool idempotent_ = false;
    // Attempts made so far, the failed one included.
    int attempts_ = 1;
    int depth_ = 0;
    // Time left until the call's deadline.
    milliseconds time_left_{0.0};
    // Usual time of a call at a target of the service.
    milliseconds typical_time_{0.0};
};

enum class retry_action
{
    // Make another attempt, and take one token of the budget.
    retry,
    // The attempt may have run and the call is not idempotent.
    forbidden,
    // The budget or the number of attempts is spent.
    budget_spent,
    // Another attempt could not end before the deadline.
    too_late
};

// Decides whether a failed attempt is followed by another one.
retry_action decide_retry(const retry_input& question,
                          const retry_budget& budget) noexcept;

} // namespace anvilturn

#endif
