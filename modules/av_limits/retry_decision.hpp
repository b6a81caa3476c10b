#ifndef AV_LIMITS_RETRY_DECISION_HPP
#define AV_LIMITS_RETRY_DECISION_HPP

#include <av_core/milliseconds.hpp>
#include <av_limits/retry_budget.hpp>

namespace anvilturn
{

// Whether an attempt that got no response may have run at the target.
enum class attempt_execution
{
    // No byte of the attempt was sent, or the target responded that it refused
    // the call before running it.
    proven_not_run,
    // The attempt may have run.
    may_have_run
};

// Input of the retry decision after a failed attempt.
struct retry_input
{
    attempt_execution execution_ = attempt_execution::may_have_run;
    // Whether a rule of the release says that the call may run twice.
    bool idempotent_ = false;
    // Attempts made so far, including the failed one.
    int attempts_ = 1;
    int depth_ = 0;
    // Time left until the call's deadline.
    milliseconds time_left_{0.0};
    // Typical time of a call of the service at a target.
    milliseconds typical_time_{0.0};
};

enum class retry_action
{
    // Make another attempt, and take one token from the budget.
    retry,
    // The attempt may have run and the call is not idempotent.
    forbidden,
    // The budget or the number of attempts is exhausted.
    budget_spent,
    // Another attempt could not end before the deadline.
    too_late
};

// Decides whether a failed attempt is followed by another one.
retry_action decide_retry(const retry_input& input,
                          const retry_budget& budget) noexcept;

} // namespace anvilturn

#endif
