#ifndef AV_CALL_ATTEMPT_FACTS_HPP
#define AV_CALL_ATTEMPT_FACTS_HPP

#include <av_core/comparison.hpp>

#include <tuple>

namespace anvilturn
{

// What is known of an attempt at a target once it has ended.
struct attempt_facts
{
    // Some byte of this attempt may have left for the target.
    bool bytes_may_have_been_sent_ = false;
    // The target answered that it refused the call before running it.
    bool target_refused_ = false;
    // Some byte of an answer was written towards the caller.
    bool response_started_ = false;
    // The target's answer arrived whole.
    bool response_complete_ = false;
    // A rule says that the call may run more than once.
    bool idempotent_ = false;
    // An earlier attempt of this call may have run.
    bool earlier_may_have_run_ = false;
    // The request is still held whole, so that it can be sent again.
    bool replayable_ = false;
    bool deadline_left_ = false;
    // The retry budget and the limit of attempts allow another one.
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
                        deadline_left_,
                        retry_budget_left_);
    }
};

} // namespace anvilturn

#endif
