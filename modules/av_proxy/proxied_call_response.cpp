// Handles and relays the responses of targets and VMs.

#include <av_proxy/proxied_call.hpp>

#include <av_core/log_event.hpp>
#include <av_http/message_writer.hpp>
#include <av_model/call_outcome.hpp>
#include <av_proxy/target_refusal.hpp>
#include <av_proxy/worker.hpp>

#include <algorithm>
#include <utility>

namespace anvilturn
{
namespace
{

constexpr int first_failed_status = 500;
constexpr int first_error_status = 400;
constexpr auto relaxed = std::memory_order_relaxed;

} // namespace

void proxied_call::on_response_head(const response_head& head)
{
    const bool handled = to_vm_ ? handle_vm_response(head)
                                : handle_refusal(head) || handle_failure(head);
    if (!handled)
    {
        relay_response_head(head);
    }
}

void proxied_call::on_response_body(std::string_view bytes)
{
    if (is_head_request_)
    {
        return;
    }
    if (response_chunked_)
    {
        write_chunk(response_output(), bytes);
    }
    else
    {
        response_output().append(bytes);
    }
    const auto limit =
        std::min(worker_.core().settings_.buffered_response_bytes_,
                 worker_.response_buffer_limit());
    if (buffered_response_.size() > limit)
    {
        flush_buffered_response();
        // Not needed again by this call, which may last.
        std::string().swap(buffered_response_);
    }
}

void proxied_call::on_input_processed()
{
    if (buffers_response_)
    {
        return;
    }
    link_.flush();
    const bool slow = link_.unsent_bytes() > worker_.response_buffer_limit();
    if (connection_ != nullptr && slow)
    {
        connection_->pause();
    }
}

void proxied_call::on_response_complete(bool reusable)
{
    const auto connection = std::exchange(connection_, nullptr);
    if (response_chunked_)
    {
        write_last_chunk(response_output());
    }
    flush_buffered_response();
    attempt_summary result;
    result.response_complete_ = true;
    lifecycle_.end_attempt(result);
    release_attempt_permits(false);
    if (reusable)
    {
        connection->return_to_pool(worker_.now());
    }
    else
    {
        connection->close();
    }
    record_completion();
    const auto service = service_->state_;
    const auto self = link_.share_call();
    release_target();
    count_answered();
    finish(keep_alive_);
    worker_.on_slot_freed(service);
}

void proxied_call::record_response_head(target_state& target,
                                        const response_head& head)
{
    const auto* report = head.load_ ? &*head.load_ : nullptr;
    const auto now = worker_.now();
    if (head.idle_limit_)
    {
        target.idle_limit_ms_.store(head.idle_limit_->count(), relaxed);
    }
    if (!record_response(target, report, head.draining_, now))
    {
        return;
    }
    log_event(log_level::info, "target_draining_seen")
        .field("target", target.name_)
        .write();
    const auto& core = worker_.core();
    if (core.listener_)
    {
        target_notice notice;
        notice.kind_ = target_notice_kind::draining;
        notice.target_ = target.name_;
        notice.load_ = head.load_.value_or(load_report{});
        notice.load_.draining_ = true;
        notice.source_vm_ = core.settings_.vm_name_;
        core.listener_(notice);
    }
}

// Records a target's response. Returns whether the target refused the call; the
// attempt has then ended and the call continues without this response.
bool proxied_call::handle_refusal(const response_head& head)
{
    record_response_head(*target_, head);
    const auto refusal = refusal_of(head, worker_.core().settings_.dialect_);
    if (!refusal)
    {
        return false;
    }
    record_refusal_by(*target_, target_slots_, head, worker_.now());
    end_attempt(*refusal, true);
    return true;
}

// Handles the response of the service's dispatcher VM. Returns whether the call
// continues without it.
bool proxied_call::handle_vm_response(const response_head& head)
{
    vm_outcome_ = head.outcome_;
    vm_reason_ = head.reason_;
    if (vm_outcome_ == name_of(call_outcome::not_run) &&
        (vm_reason_ == describe(error_kind::vm_stopping).name_ ||
         vm_reason_ == describe(error_kind::vm_not_ready).name_))
    {
        end_attempt(error_kind::vm_stopping, true);
        return true;
    }
    const bool known = vm_outcome_ == name_of(call_outcome::answered) ||
                       vm_outcome_ == name_of(call_outcome::not_run) ||
                       vm_outcome_ == name_of(call_outcome::unknown);
    if (!known)
    {
        end_attempt(error_kind::target_answer_malformed, false);
        return true;
    }
    return false;
}

// Returns whether the call may be sent to another target though it may have
// run.
bool proxied_call::may_retry_elsewhere() const
{
    // The current attempt counts as one that may have run.
    return idempotent_ && !body_dropped_ &&
           possible_runs_ + 1 < max_attempts_ && has_attempts_left() &&
           worker_.now() < latest_start(deadline_, work_time()) &&
           allows_extra_attempt(worker_state_->budget_);
}

// Ends the attempt if the response is a success without the expected signature,
// or a failure that a retry at another target may avoid. Returns whether the
// call continues without this response.
bool proxied_call::handle_failure(const response_head& head)
{
    const bool unsigned_success =
        !worker_.core().settings_.dialect_.signature_.empty() &&
        !head.has_signature_ && head.status_ < first_error_status;
    if (unsigned_success)
    {
        end_attempt(error_kind::target_answer_malformed, false);
        return true;
    }
    if (!is_failed_hedged_response(head.status_) &&
        (head.status_ < first_failed_status || !may_retry_elsewhere()))
    {
        return false;
    }
    end_attempt(error_kind::target_failed, false);
    return true;
}

std::string& proxied_call::response_output()
{
    return buffers_response_ ? buffered_response_ : link_.output();
}

// Moves the buffered part of the response to the output to the caller.
void proxied_call::flush_buffered_response()
{
    if (!std::exchange(buffers_response_, false))
    {
        return;
    }
    cancel_hedge();
    lifecycle_.record_response_started();
    link_.output().append(buffered_response_);
    buffered_response_.clear();
}

void proxied_call::relay_response_head(const response_head& head)
{
    buffers_response_ = worker_.core().settings_.buffered_response_bytes_ > 0;
    if (!buffers_response_)
    {
        cancel_hedge();
        lifecycle_.record_response_started();
    }
    // The outcomes of another VM's responses are those of targets, not of that
    // VM.
    response_failed_ = !to_vm_ && head.status_ >= first_failed_status;
    keep_alive_ = keeps_connection();
    response_chunked_ = (head.framing_ == body_framing::chunked ||
                         head.framing_ == body_framing::until_close) &&
                        !is_head_request_;
    response_additions additions;
    additions.call_id_ = call_id_;
    additions.outcome_ = vm_outcome_.empty() ? name_of(call_outcome::answered)
                                             : std::string_view(vm_outcome_);
    additions.reason_ = vm_reason_;
    additions.keep_alive_ = keep_alive_;
    additions.with_load_ = came_from_vm_;
    write_response_head(
        response_output(), head, additions, worker_.core().settings_.dialect_);
}

void proxied_call::record_completion()
{
    const auto now = worker_.now();
    const auto time = now - attempt_started_at_;
    record_result(*target_, response_failed_, now);
    target_->failed_connections_.store(0, relaxed);
    if (!to_vm_ && !response_failed_)
    {
        record_latency(*target_, time, target_slots_);
        *work_ = after_run(*work_, slowdown_at_start_, time, now);
        worker_state_->profile_ = after_call(
            worker_state_->profile_, load_at_start_, slowdown_at_start_, time);
    }
}

} // namespace anvilturn
