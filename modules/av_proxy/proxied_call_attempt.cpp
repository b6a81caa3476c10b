// The attempts of a call: the connection to a target or VM, and the request
// that is sent on it.

#include <av_proxy/proxied_call.hpp>

#include <av_http/message_writer.hpp>
#include <av_proxy/worker.hpp>

namespace anvilturn
{
namespace
{

constexpr auto relaxed = std::memory_order_relaxed;

} // namespace

void proxied_call::start_attempt(const target_entry& target, bool to_vm)
{
    target_ = target.state_;
    target_slots_ = target.spec_.slots_;
    to_vm_ = to_vm;
    if (to_vm)
    {
        target_->local_in_flight_.fetch_add(1);
    }
    if (!lifecycle_.dispatch())
    {
        release_target();
        return;
    }
    take_cold_permit(target);
    if (++attempts_ == 1)
    {
        worker_state_->budget_ =
            after_first_attempt(worker_state_->budget_,
                                service_->spec_.retry_ratio_,
                                head_->depth_,
                                service_->spec_.retry_burst_);
        worker_state_->hedges_ = after_call_begun(
            worker_state_->hedges_, worker_.core().settings_.hedge_ratio_);
    }
    attempt_started_at_ = worker_.now();
    load_at_start_ = target_->reported_load_.load(relaxed) +
                     target_->sent_since_report_.load(relaxed);
    slowdown_at_start_ = target_->reported_slowdown_.load(relaxed);
    connecting_ = true;
    connect_due_ =
        attempt_started_at_ + worker_.core().settings_.connect_timeout_;
    log_attempt_start();
    connection_ = worker_.connect(target);
    connection_->begin(*this, is_head_request_, call_id_);
    link_.update_timer();
}

// Passes the part of the request's body that was not sent yet to the
// connection.
void proxied_call::send_body()
{
    const auto& settings = worker_.core().settings_;
    const auto connection = connection_;
    const auto unsent = std::string_view(body_).substr(body_sent_);
    if (body_framing_ == body_framing::chunked)
    {
        write_chunk(connection->output(), unsent);
    }
    else
    {
        connection->output().append(unsent);
    }
    body_sent_ = body_.size();
    if (request_complete_ && body_framing_ == body_framing::chunked)
    {
        write_last_chunk(connection->output());
    }
    connection->set_request_complete(request_complete_);
    if (body_.size() > settings.buffered_body_bytes_)
    {
        body_.clear();
        body_sent_ = 0;
        body_dropped_ = true;
    }
    connection->flush();
    if (connection == connection_ && !request_complete_)
    {
        link_.resume_reading();
    }
}

void proxied_call::on_connected()
{
    connecting_ = false;
    const auto now = worker_.now();
    if (now >= deadline_)
    {
        end_attempt(error_kind::deadline_exceeded, false);
        return;
    }
    if (was_paused(attempt_started_at_, now))
    {
        // The choice may be outdated; nothing was sent yet, so choose again.
        end_attempt(error_kind::target_answer_lost, false);
        return;
    }
    if (!may_send_now())
    {
        withdraw_attempt();
        return;
    }
    auto& connection = *connection_;
    const auto additions = additions_for(*target_, now);
    body_framing_ = additions.framing_;
    spend_permits();
    write_request_head(connection.output(),
                       *head_,
                       additions,
                       worker_.core().settings_.dialect_);
    body_sent_ = 0;
    send_body();
}

// Returns what the request to the target has beside the caller's header fields.
request_additions proxied_call::additions_for(const target_state& target,
                                              milliseconds now) const
{
    request_additions additions;
    additions.call_id_ = call_id_;
    additions.deadline_left_ = deadline_ - now;
    additions.depth_ = to_vm_ ? head_->depth_ : head_->depth_ + 1;
    additions.forwarded_ = to_vm_;
    additions.deployment_ = worker_.core().settings_.deployment_;
    if (!to_vm_)
    {
        additions.expected_target_ = target.name_;
    }
    if (account_ != nullptr)
    {
        additions.account_ = account_->name_;
    }
    additions.framing_ = head_->framing_;
    additions.length_ = head_->length_;
    if (request_complete_ && head_->framing_ == body_framing::chunked)
    {
        additions.framing_ = body_framing::length;
        additions.length_ = body_.size();
    }
    return additions;
}

void proxied_call::on_bytes_sent()
{
    lifecycle_.record_bytes_sent();
    if (target_ != nullptr)
    {
        record_sent(*target_);
    }
    if (worker_.core().settings_.hedge_ratio_ > 0.0)
    {
        watch_for_hedge();
    }
}

void proxied_call::on_output_drained()
{
    if (!request_complete_)
    {
        link_.resume_reading();
    }
}

void proxied_call::on_attempt_failed(error_kind kind)
{
    end_attempt(kind, false);
}

} // namespace anvilturn
