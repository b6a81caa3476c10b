#ifndef AV_CALL_ATTEMPT_INPUT_HPP
#define AV_CALL_ATTEMPT_INPUT_HPP

#include <av_core/comparison.hpp>

#include <tuple>

namespace anvilturn
{

// What is known about an attempt at a target when it has ended: the input of
// classify_attempt.
struct attempt_input
{
    // At least one byte of this attempt may have been sent to the target.
    bool bytes_may_have_been_sent_ = false;
    // The target responded that it refused the call before running it.
    bool target_refused_ = false;
    // At least one byte of a response was written to the caller.
    bool response_started_ = false;
    // The target's response was received completely.
    bool response_complete_ = false;
    // The routing rule allows the call to run more than once.
    bool idempotent_ = false;
    // An earlier attempt of this call may have run on its target.
    bool earlier_may_have_run_ = false;
    // The complete request is still buffered, so that it can be sent again.
    bool replayable_ = false;
    // The call's deadline has not passed.
    bool is_before_deadline_ = false;
    // The retry budget and the maximum number of attempts allow another one.
    bool retry_budget_left_ = false;

    // Returns all members, for comparison.
    auto tie() const
    {
        return std::tie(bytes_may_have_been_sent_,
                        target_refused_,
                        response_started_,
                        response_complete_,
                        idempotent_,
                        earlier_may_have_run_,
                        replayable_,
                        is_before_deadline_,
                        retry_budget_left_);
    }
};

} // namespace anvilturn

#endif
