#include <av_call/classify_attempt.hpp>

namespace anvilturn
{
namespace
{

bool may_retry(const attempt_input& input)
{
    const bool safe_to_repeat = input.idempotent_ || is_proven_not_run(input);
    return safe_to_repeat && !input.response_started_ && input.replayable_ &&
           input.is_before_deadline_ && input.retry_budget_left_;
}

} // namespace

bool is_proven_not_run(const attempt_input& input)
{
    return !input.bytes_may_have_been_sent_ || input.target_refused_;
}

attempt_outcome classify_attempt(const attempt_input& input)
{
    if (input.response_complete_ && !input.target_refused_)
    {
        return attempt_outcome::answered;
    }
    if (may_retry(input))
    {
        return attempt_outcome::retry_allowed;
    }
    if (is_proven_not_run(input) && !input.earlier_may_have_run_ &&
        !input.response_started_)
    {
        return attempt_outcome::not_run;
    }
    return attempt_outcome::unknown;
}

} // namespace anvilturn
