// The end of attempts and calls: retries, the responses that this VM makes
// itself, and what is counted and logged.

#include <av_proxy/proxied_call.hpp>

#include <av_core/log_event.hpp>
#include <av_http/message_writer.hpp>
#include <av_limits/retry_after.hpp>
#include <av_model/call_outcome.hpp>
#include <av_proxy/response_status.hpp>
#include <av_proxy/worker.hpp>
#include <av_routing/random_bits.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace anvilturn
{
namespace
{

constexpr int too_many_status = 429;
constexpr int busy_status = 503;
// Retry-After has three digits, so times are rounded up to what these can show.
constexpr double retry_after_step_ms = 10.0;
constexpr auto relaxed = std::memory_order_relaxed;

} // namespace

// Ends the attempt without a response, then retries, aborts or answers the
// call.
void proxied_call::end_attempt(error_kind kind, bool refused)
{
    const auto self = link_.share_call();
    if (continue_with_hedge(kind, refused))
    {
        return;
    }
    last_failure_ = kind;
    refused_with_room_ = refused && target_has_room();
    buffered_response_.clear();
    buffers_response_ = false;
    const auto service = service_->state_;
    const auto phase = lifecycle_.phase();
    const bool nothing_sent = phase == call_phase::dispatched;
    const bool budget_exempt = to_vm_ || nothing_sent;
    possible_runs_ += nothing_sent || refused ? 0 : 1;
    log_attempt_end(describe(kind).name_, refused);
    release_attempt_permits(refused);
    release_connection(kind, refused);
    attempt_summary result;
    result.target_refused_ = refused;
    result.replayable_ = !body_dropped_;
    result.is_before_deadline_ = worker_.now() < deadline_;
    result.retry_budget_left_ =
        possible_runs_ < max_attempts_ && has_attempts_left() &&
        (budget_exempt || allows_extra_attempt(worker_state_->budget_));
    const auto outcome = lifecycle_.end_attempt(result);
    if (outcome == attempt_outcome::retry_allowed)
    {
        retry(budget_exempt);
    }
    else if (phase == call_phase::responding)
    {
        abort_connection(kind);
    }
    else
    {
        respond(refused && !result.retry_budget_left_
                    ? error_kind::retry_budget_spent
                    : kind);
    }
    worker_.on_slot_freed(service);
}

bool proxied_call::has_attempts_left() const
{
    return attempts_ - withdrawn_attempts_ < max_total_attempts;
}

// Ends an attempt of which nothing was sent because the target has left or
// become cold since the choice, or a permit has expired, and chooses again. It
// is no failure of the target, and the call has not used an attempt.
void proxied_call::withdraw_attempt()
{
    const auto self = link_.share_call();
    const auto service = service_->state_;
    ++withdrawn_attempts_;
    log_attempt_end("not_permitted", false);
    release_attempt_permits(false);
    std::exchange(connection_, nullptr)->abandon();
    connecting_ = false;
    release_target();
    // A call whose body was dropped gets no further attempt that could end
    // here.
    attempt_summary result;
    result.replayable_ = true;
    result.is_before_deadline_ = true;
    result.retry_budget_left_ = true;
    lifecycle_.end_attempt(result);
    route_call();
    worker_.on_slot_freed(service);
}

// Releases the attempt's connection and slot, and records the result.
void proxied_call::release_connection(error_kind kind, bool refused)
{
    const auto connection = std::exchange(connection_, nullptr);
    // Nothing was sent, so this is no failure of the target.
    const bool failed_before_send =
        kind != error_kind::target_unreachable &&
        lifecycle_.phase() == call_phase::dispatched;
    if (refused)
    {
        connection->discard_remaining_response();
    }
    else
    {
        connection->abandon();
    }
    if (kind == error_kind::target_unreachable)
    {
        record_unreachable(*target_, worker_.now());
    }
    else if (is_target_failure(kind) && !failed_before_send)
    {
        record_result(*target_, true, worker_.now());
    }
    if (!failed_before_send)
    {
        excluded_.push_back(target_.get());
    }
    connecting_ = false;
    release_target();
}

void proxied_call::retry(bool budget_exempt)
{
    vm_outcome_.clear();
    vm_reason_.clear();
    if (!budget_exempt)
    {
        worker_state_->budget_ = after_extra_attempt(worker_state_->budget_);
    }
    worker_.counters().extra_attempts_.fetch_add(1, relaxed);
    route_call();
}

// Ends a call whose response was started but can't be completed.
void proxied_call::abort_connection(error_kind kind)
{
    count(kind);
    cancel_hedge();
    return_permit(account_permit_);
    active_ = false;
    worker_.counters().calls_.fetch_sub(1, relaxed);
    link_.abort_connection();
}

void proxied_call::release_target()
{
    if (target_ != nullptr)
    {
        release_slot(*target_);
        target_.reset();
    }
}

// Answers the call with a response of this VM, according to its outcome.
void proxied_call::respond(error_kind kind)
{
    const bool not_run = lifecycle_.phase() == call_phase::not_run;
    const auto reason =
        not_run ? not_run_reason(kind) : unknown_outcome_reason(kind);
    const auto& entry = describe(reason);
    local_response response;
    response.status_ = status_of(reason);
    response.call_id_ = call_id_;
    response.outcome_ =
        name_of(not_run ? call_outcome::not_run : call_outcome::unknown);
    response.reason_ = entry.name_;
    response.text_ = entry.remedy_;
    if (response.status_ == busy_status || response.status_ == too_many_status)
    {
        response.retry_after_ = retry_after(reason);
    }
    response.keep_alive_ = head_ != nullptr && keeps_connection();
    response.responds_to_head_request_ = is_head_request_;
    write_local_response(
        link_.output(), response, worker_.core().settings_.dialect_);
    count(reason);
    finish(response.keep_alive_);
}

// Returns whether the connection stays open after the response. On a VM that
// is stopping, it does so for the later requests that have begun.
bool proxied_call::keeps_connection() const
{
    const bool closes_for_stop =
        worker_.core().draining_.load(relaxed) && link_.is_last_request();
    return head_->keep_alive_ && request_complete_ && !closes_for_stop;
}

// Returns the time after which the caller should retry.
milliseconds proxied_call::retry_after(error_kind reason) const
{
    const bool other_vm_may_serve =
        reason == error_kind::vm_stopping || reason == error_kind::vm_not_ready;
    if (other_vm_may_serve)
    {
        return immediate_retry_after;
    }
    if (reason == error_kind::quota_exceeded && expected_wait_)
    {
        // The grantor has spread the callers over time already; an earlier
        // return would be refused again.
        return std::max(immediate_retry_after,
                        milliseconds(std::ceil(expected_wait_->count() /
                                               retry_after_step_ms) *
                                     retry_after_step_ms));
    }
    retry_after_input input;
    input.time_left_ = deadline_ - worker_.now();
    input.random_ = unit_interval(worker_.random_bits());
    if (reason == error_kind::retry_budget_spent && refused_with_room_)
    {
        return shed_retry_after_delay(
            input.time_left_, work_time(), input.random_);
    }
    input.expected_wait_ = expected_wait_;
    return retry_after_delay(input);
}

// Returns whether the newest load report of the target shows room for one more
// call.
bool proxied_call::target_has_room() const
{
    const int reported = target_->reported_load_.load(relaxed);
    return reported >= 0 && !to_vm_ && reported < target_slots_;
}

// Counts a call that ended without a complete response of a target or VM.
void proxied_call::count(error_kind kind)
{
    log_call_end(lifecycle_.phase() == call_phase::not_run
                     ? name_of(call_outcome::not_run)
                     : name_of(call_outcome::unknown),
                 describe(kind).name_);
    auto& counters = worker_.counters();
    const bool not_run = lifecycle_.phase() == call_phase::not_run;
    auto& outcome = not_run ? counters.not_run_ : counters.unknown_;
    outcome.fetch_add(1, relaxed);
    record_outcome(not_run ? call_outcome::not_run : call_outcome::unknown);
    counters.reasons_[static_cast<std::size_t>(kind)].fetch_add(1, relaxed);
}

// Counts a call whose response was relayed completely, by the outcome in it.
void proxied_call::count_answered()
{
    log_call_end(vm_outcome_.empty() ? name_of(call_outcome::answered)
                                     : std::string_view(vm_outcome_),
                 vm_reason_);
    auto& counters = worker_.counters();
    if (vm_outcome_ == name_of(call_outcome::not_run))
    {
        counters.not_run_.fetch_add(1, relaxed);
        record_outcome(call_outcome::not_run);
    }
    else if (vm_outcome_ == name_of(call_outcome::unknown))
    {
        counters.unknown_.fetch_add(1, relaxed);
        record_outcome(call_outcome::unknown);
    }
    else
    {
        counters.answered_.fetch_add(1, relaxed);
        record_outcome(call_outcome::answered);
    }
}

// Records how long the call took, and counts it for its account.
void proxied_call::record_outcome(call_outcome outcome) const
{
    if (account_ != nullptr)
    {
        accounts_->counters_of(*account_)
            .calls_[static_cast<std::size_t>(outcome)]
            .fetch_add(1, relaxed);
    }
    auto* const recorder = worker_.core().recorder_;
    if (recorder != nullptr)
    {
        recorder->record(worker_.index(), outcome, worker_.now() - started_at_);
    }
}

// Logs where the call is sent and what was known of the target.
void proxied_call::log_attempt_start() const
{
    if (!is_logged(log_level::info))
    {
        return;
    }
    const auto now = worker_.now();
    const auto reported_at =
        milliseconds(target_->reported_at_ms_.load(relaxed));
    log_event(log_level::info, "call_sent")
        .field("call", call_id_)
        .field("service", worker_state_->state_->name_)
        .field(to_vm_ ? "home_vm" : "target", target_->name_)
        .field("attempt", attempts_)
        .field("waited_ms", (attempt_started_at_ - started_at_).count())
        .field("reported_load", target_->reported_load_.load(relaxed))
        .field("slowdown", target_->reported_slowdown_.load(relaxed))
        .field("report_age_ms", (now - reported_at).count())
        .field("version", table_->version_)
        .write();
}

void proxied_call::log_attempt_end(std::string_view reason, bool refused) const
{
    if (!is_logged(log_level::info))
    {
        return;
    }
    log_event(log_level::info, "attempt_ended")
        .field("call", call_id_)
        .field(to_vm_ ? "home_vm" : "target", target_->name_)
        .field("attempt", attempts_)
        .field("reason", reason)
        .field("refused", refused)
        .field("ran_ms", (worker_.now() - attempt_started_at_).count())
        .write();
}

void proxied_call::log_call_end(std::string_view outcome,
                                std::string_view reason) const
{
    if (!is_logged(log_level::info))
    {
        return;
    }
    log_event event(log_level::info, "call_ended");
    event.field("call", call_id_)
        .field("outcome", outcome)
        .field("reason", reason)
        .field("took_ms", (worker_.now() - started_at_).count())
        .field("attempts", attempts_)
        .field("deadline_left_ms", (deadline_ - worker_.now()).count());
    if (worker_state_ != nullptr)
    {
        event.field("service", worker_state_->state_->name_)
            .field("objective_ms", latency_objective_.count())
            .field("waiting", worker_state_->queue_.size())
            .field("usual_ms", typical_time(worker_state_->profile_).count())
            .field("retry_tokens", worker_state_->budget_.tokens_);
    }
    if (account_ != nullptr)
    {
        event.field("account", account_->name_);
    }
    if (work_ != nullptr)
    {
        event.field("work_ms", work_time().count());
    }
    if (expected_wait_)
    {
        event.field("expected_wait_ms", expected_wait_->count());
    }
    if (target_summary_)
    {
        event.field("eligible", target_summary_->eligible_)
            .field("full", target_summary_->full_)
            .field("slowed", target_summary_->slowed_)
            .field("newest_report_ms",
                   target_summary_->newest_report_age_.count());
    }
    event.write();
}

void proxied_call::finish(bool keep_alive)
{
    cancel_hedge();
    active_ = false;
    worker_.counters().calls_.fetch_sub(1, relaxed);
    worker_state_ = nullptr;
    service_ = nullptr;
    table_.reset();
    accounts_.reset();
    account_ = nullptr;
    return_permit(account_permit_);
    link_.finish_response(keep_alive);
}

} // namespace anvilturn
