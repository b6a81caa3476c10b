#ifndef AV_CALL_CLASSIFY_ATTEMPT_HPP
#define AV_CALL_CLASSIFY_ATTEMPT_HPP

#include <av_call/attempt_facts.hpp>

namespace anvilturn
{

// What follows from an attempt that has ended.
enum class attempt_outcome
{
    // The target's answer is the call's answer.
    answered,
    // The call may be sent to another target.
    retry_allowed,
    // No attempt of the call ran.
    not_run,
    // Some attempt may have run.
    unknown
};

// Returns whether the attempt is proved not to have run: nothing left for the
// target, or the target itself refused.
bool is_proven_not_run(const attempt_facts& facts);

// Decides what follows from an attempt. A call that is not idempotent is sent
// again only if the attempt is proved not to have run; "not run" is said only
// if every attempt is.
attempt_outcome classify_attempt(const attempt_facts& facts);

} // namespace anvilturn

#endif
