#ifndef AV_CALL_CLASSIFY_ATTEMPT_HPP
#define AV_CALL_CLASSIFY_ATTEMPT_HPP

#include <av_call/attempt_input.hpp>

namespace anvilturn
{

// How an attempt has ended, and so how its call goes on.
enum class attempt_outcome
{
    // The target's response is the response to the call.
    answered,
    // The call may be sent to another target.
    retry_allowed,
    // No attempt of the call ran.
    not_run,
    // At least one attempt may have run.
    unknown
};

// Returns whether the attempt is proven not to have run: nothing was sent to
// the target, or the target itself refused the call.
bool is_proven_not_run(const attempt_input& input);

// Classifies an attempt that has ended. A call that is not idempotent is sent
// again only if the attempt is proven not to have run. not_run is returned only
// if this is proven for every attempt.
attempt_outcome classify_attempt(const attempt_input& input);

} // namespace anvilturn

#endif
