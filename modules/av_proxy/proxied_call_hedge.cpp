// What a call contributes to its second attempt (hedge), and how it continues
// with that one as its only attempt.

#include <av_proxy/proxied_call.hpp>

#include <av_proxy/hedged_attempt.hpp>
#include <av_proxy/target_refusal.hpp>
#include <av_proxy/worker.hpp>

#include <algorithm>
#include <utility>

namespace anvilturn
{

// Called when the call was sent to a target, if calls are hedged.
void proxied_call::watch_for_hedge()
{
    if (to_vm_ || !idempotent_ || !request_complete_)
    {
        return;
    }
    if (hedge_ == nullptr)
    {
        hedge_ = std::make_unique<hedged_attempt>(worker_, link_, *this);
    }
    hedge_->watch();
}

// Returns what the decision on a hedge needs to know of the call itself.
hedge_input proxied_call::hedge_facts() const
{
    hedge_input input;
    input.idempotent_ = idempotent_;
    input.replayable_ = request_complete_ && !body_dropped_;
    input.depth_ = head_->depth_;
    input.possible_runs_ = possible_runs_ + 1;
    const int attempts_left =
        max_total_attempts - (attempts_ - withdrawn_attempts_);
    input.max_attempts_ =
        std::min(max_attempts_, input.possible_runs_ + attempts_left);
    input.slowdown_at_start_ = slowdown_at_start_;
    input.started_at_ = attempt_started_at_;
    input.deadline_ = deadline_;
    input.work_time_ = work_time();
    return input;
}

void proxied_call::cancel_hedge()
{
    if (hedge_ != nullptr)
    {
        hedge_->cancel();
    }
}

// Returns whether a response with the status must not go to the caller: while
// the hedge runs, only a conclusive response wins, and once an attempt may have
// run, none may say that the call has not run.
bool proxied_call::is_failed_hedged_response(int status) const
{
    if (hedge_ == nullptr)
    {
        return false;
    }
    return hedge_->is_running()
               ? !is_conclusive(status)
               : possible_runs_ > 0 && promises_not_run(status);
}

// Called when the attempt has ended without a response for the caller. Returns
// whether the call continues with its hedge.
bool proxied_call::continue_with_hedge(error_kind kind, bool refused)
{
    const bool continues = hedge_ != nullptr && hedge_->is_running() &&
                           !body_dropped_ && worker_.now() < deadline_ &&
                           lifecycle_.phase() == call_phase::sent;
    if (!continues)
    {
        cancel_hedge();
        return false;
    }
    last_failure_ = kind;
    switch_to_hedge(kind, refused, false);
    return true;
}

// Ends the attempt, and makes the hedge the only one. It may be that the call
// has ended when this returns.
void proxied_call::switch_to_hedge(error_kind kind, bool refused, bool complete)
{
    const auto self = link_.share_call();
    const auto service = service_->state_;
    possible_runs_ += refused ? 0 : 1;
    log_attempt_end(describe(kind).name_, refused);
    release_attempt_permits(refused);
    return_permit(account_permit_);
    release_connection(kind, refused);
    buffered_response_.clear();
    buffers_response_ = false;
    attempt_summary result;
    result.target_refused_ = refused;
    result.replayable_ = true;
    result.is_before_deadline_ = true;
    result.retry_budget_left_ = true;
    lifecycle_.end_attempt(result);
    lifecycle_.dispatch();
    auto hedge = hedge_->hand_over();
    connection_ = std::move(hedge.connection_);
    target_ = std::move(hedge.target_);
    target_slots_ = hedge.slots_;
    account_permit_ = std::move(hedge.account_permit_);
    attempt_started_at_ = hedge.started_at_;
    load_at_start_ = hedge.load_at_start_;
    slowdown_at_start_ = hedge.slowdown_at_start_;
    connecting_ = hedge.connecting_;
    connect_due_ =
        attempt_started_at_ + worker_.core().settings_.connect_timeout_;
    body_sent_ = body_.size();
    if (hedge.bytes_sent_)
    {
        lifecycle_.record_bytes_sent();
    }
    if (!complete)
    {
        connection_->set_observer(*this);
    }
    link_.update_timer();
    worker_.post_slot_freed(service);
    if (hedge.head_)
    {
        on_response_head(*hedge.head_);
        on_response_body(hedge.body_);
    }
    if (hedge.head_ && !complete)
    {
        on_input_processed();
    }
}

} // namespace anvilturn
