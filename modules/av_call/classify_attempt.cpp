#include <av_call/classify_attempt.hpp>

namespace anvilturn
{
namespace
{

bool may_retry(const attempt_facts& facts)
{
    const bool harmless = facts.idempotent_ || is_proven_not_run(facts);
    return harmless && !facts.response_started_ && facts.replayable_ &&
           facts.deadline_left_ && facts.retry_budget_left_;
}

} // namespace

bool is_proven_not_run(const attempt_facts& facts)
{
    return !facts.bytes_may_have_been_sent_ || facts.target_refused_;
}

attempt_outcome classify_attempt(const attempt_facts& facts)
{
    if (facts.response_complete_ && !facts.target_refused_)
    {
        return attempt_outcome::answered;
    }
    if (may_retry(facts))
    {
        return attempt_outcome::retry_allowed;
    }
    if (is_proven_not_run(facts) && !facts.earlier_may_have_run_ &&
        !facts.response_started_)
    {
        return attempt_outcome::not_run;
    }
    return attempt_outcome::unknown;
}

} // namespace anvilturn
