#include <av_limits/retry_decision.hpp>

namespace anvilturn
{

namespace
{

constexpr int max_attempts = 3;

} // namespace

retry_action decide_retry(const retry_input& input,
                          const retry_budget& budget) noexcept
{
    const bool safe = input.idempotent_ ||
                      input.execution_ == attempt_execution::proven_not_run;
    if (!safe)
    {
        return retry_action::forbidden;
    }
    if (input.time_left_ <= input.typical_time_)
    {
        return retry_action::too_late;
    }
    if (input.attempts_ >= max_attempts || !allows_extra_attempt(budget))
    {
        return retry_action::budget_spent;
    }
    return retry_action::retry;
}

} // namespace anvilturn
