#include <av_limits/retry_decision.hpp>

namespace anvilturn
{

namespace
{

constexpr int most_attempts = 3;

} // namespace

retry_action decide_retry(const retry_input& question,
                          const retry_budget& budget) noexcept
{
    const bool safe = question.idempotent_ ||
                      question.end_ == attempt_execution::proved_not_run;
    if (!safe)
    {
        return retry_action::forbidden;
    }
    if (question.time_left_ <= question.typical_time_)
    {
        return retry_action::too_late;
    }
    if (question.attempts_ >= most_attempts || !allows_extra_attempt(budget))
    {
        return retry_action::budget_spent;
    }
    return retry_action::retry;
}

} // namespace anvilturn
