#ifndef AV_CALL_CALL_LIFECYCLE_HPP
#define AV_CALL_CALL_LIFECYCLE_HPP

#include <av_call/attempt_input.hpp>
#include <av_call/call_commit.hpp>
#include <av_call/classify_attempt.hpp>

#include <memory>

namespace anvilturn
{

// The phases of a call; the last three are its outcomes.
enum class call_phase
{
    // Waits for a target; nothing has been sent.
    queued,
    // A target was chosen; nothing of this attempt has been sent yet.
    dispatched,
    // At least one byte of this attempt may have been sent.
    sent,
    // At least one byte of a response was written to the caller.
    responding,
    // An attempt has ended and another one is allowed.
    retrying,
    answered,
    not_run,
    unknown
};

// Facts at the end of an attempt that call_lifecycle does not record itself.
// The members are those of attempt_input.
struct attempt_summary
{
    bool target_refused_ = false;
    bool response_complete_ = false;
    bool replayable_ = false;
    bool is_before_deadline_ = false;
    bool retry_budget_left_ = false;
};

// State machine of one call from its arrival to its outcome. Records the facts
// that determine the outcome. Used by one thread; only the decision between
// dispatch and refusal may be made by several threads at once, see call_commit.
class call_lifecycle
{
public:
    call_lifecycle();
    ~call_lifecycle();
    call_lifecycle(const call_lifecycle&) = delete;
    call_lifecycle& operator=(const call_lifecycle&) = delete;

    // Starts the next call, in phase queued. An idempotent call may run more
    // than once.
    void start(bool idempotent);

    // Starts an attempt. Returns false if the call has already been refused.
    bool dispatch();

    // Refuses a call that waits for its first or its next attempt. It ends as
    // not_run, or as unknown if an earlier attempt may have run. Returns false
    // if the call has been dispatched in the meantime.
    bool refuse();

    // Records that at least one byte of this attempt may have been sent to its
    // target.
    void record_bytes_sent();

    // Records that the call may have run in another attempt, which was made
    // beside this one and has ended.
    void record_parallel_run();

    // Records that at least one byte of a response was written to the caller.
    void record_response_started();

    // Ends the attempt, classifies it and enters the phase that follows.
    attempt_outcome end_attempt(const attempt_summary& result);

    call_phase phase() const;

    // Returns whether the phase is answered, not_run or unknown.
    bool has_ended() const;

private:
    struct machine;
    std::unique_ptr<machine> machine_;
};

} // namespace anvilturn

#endif
