#ifndef AV_CALL_CALL_LIFECYCLE_HPP
#define AV_CALL_CALL_LIFECYCLE_HPP

#include <av_call/attempt_facts.hpp>
#include <av_call/call_commit.hpp>
#include <av_call/classify_attempt.hpp>

#include <memory>

namespace anvilturn
{

// Where a call stands.
enum class call_phase
{
    // Waits for a target; nothing of it has left.
    queued,
    // A target was chosen, nothing of this attempt has left yet.
    dispatched,
    // Some byte of this attempt may have left.
    sent,
    // Some byte of an answer was written towards the caller.
    responding,
    // An attempt ended and another one is allowed.
    retrying,
    answered,
    not_run,
    unknown
};

// What holds at the end of an attempt besides what the call itself records.
struct attempt_summary
{
    bool target_refused_ = false;
    bool response_complete_ = false;
    bool replayable_ = false;
    bool deadline_left_ = false;
    bool retry_budget_left_ = false;
};

// One call from its arrival to its outcome. It keeps the facts that its
// outcome follows from. One thread drives it; only the decision between
// dispatch and refusal may be raced for, see call_commit.
class call_lifecycle
{
public:
    call_lifecycle();
    ~call_lifecycle();
    call_lifecycle(const call_lifecycle&) = delete;
    call_lifecycle& operator=(const call_lifecycle&) = delete;

    // Begins another call, which is queued.
    void start(bool idempotent);

    // Starts an attempt. Returns false if the call was refused before.
    bool dispatch();

    // Refuses the call while it waits for its first or a further attempt.
    // Returns false if the call was dispatched meanwhile. It ends as not_run,
    // or as unknown if an earlier attempt may have run.
    bool refuse();

    // Records that a byte of this attempt may have left for its target.
    void record_bytes_sent();

    // Records that a byte of an answer was written towards the caller.
    void record_response_started();

    // Ends the attempt and moves to what follows from it.
    attempt_outcome end_attempt(const attempt_summary& result);

    call_phase phase() const;

    // Returns whether the call has come to one of its three outcomes.
    bool has_ended() const;

private:
    struct machine;
    std::unique_ptr<machine> machine_;
};

} // namespace anvilturn

#endif
