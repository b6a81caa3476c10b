// The course of a call after its start: its body, the choice between this VM
// and a dispatcher, deadlines, and callers that leave.

#include <av_proxy/proxied_call.hpp>

#include <av_limits/start_schedule.hpp>
#include <av_proxy/hedged_attempt.hpp>
#include <av_proxy/worker.hpp>

#include <algorithm>
#include <utility>

namespace anvilturn
{
namespace
{

constexpr auto relaxed = std::memory_order_relaxed;

bool may_forward_to(const target_state& vm, milliseconds now)
{
    return !is_ejected(outlier_of(vm), now) &&
           now.count() >= vm.unreachable_until_ms_.load(relaxed);
}

} // namespace

proxied_call::proxied_call(worker& owner, caller_link& link)
    : worker_(owner)
    , link_(link)
{
}

proxied_call::~proxied_call() = default;

void proxied_call::reject(error_kind kind)
{
    if (!active_)
    {
        reset(worker_.now());
        active_ = true;
        worker_.counters().calls_.fetch_add(1, relaxed);
        refuse(kind);
        return;
    }
    if (connection_ == nullptr)
    {
        refuse(kind);
        return;
    }
    body_dropped_ = true; // The body is incomplete: no retry.
    end_attempt(kind, false);
}

std::string& proxied_call::body()
{
    return body_;
}

bool proxied_call::wants_body() const
{
    if (!active_)
    {
        return false;
    }
    const auto& settings = worker_.core().settings_;
    const auto phase = lifecycle_.phase();
    if (phase == call_phase::sent || phase == call_phase::responding)
    {
        return connection_->unsent_bytes() < settings.relay_buffer_bytes_;
    }
    return body_.size() < settings.buffered_body_bytes_;
}

std::size_t proxied_call::buffered_bytes() const
{
    const auto hedged = hedge_ == nullptr ? 0 : hedge_->buffered_bytes();
    return body_.size() + buffered_response_.size() + hedged;
}

void proxied_call::on_request_body(bool complete)
{
    request_complete_ = complete;
    if (awaits_configuration_ || awaits_permit_)
    {
        return;
    }
    if (lifecycle_.phase() == call_phase::queued && !ticket_)
    {
        if (connection_ == nullptr && (complete || !wants_body()))
        {
            route_call();
        }
        return;
    }
    const auto phase = lifecycle_.phase();
    if (phase == call_phase::sent || phase == call_phase::responding)
    {
        send_body();
    }
}

void proxied_call::on_caller_disconnected()
{
    if (!active_)
    {
        return;
    }
    if (worker_state_ != nullptr)
    {
        worker_.withdraw(*this, *worker_state_);
    }
    const auto connection = std::exchange(connection_, nullptr);
    cancel_hedge();
    if (connection != nullptr)
    {
        connection->abandon();
        lifecycle_.end_attempt({});
        release_attempt_permits(false);
        const auto service = service_->state_;
        release_target();
        worker_.on_slot_freed(service);
    }
    else
    {
        lifecycle_.refuse();
    }
    count(error_kind::call_cancelled);
    finish(false);
}

void proxied_call::on_caller_output_drained()
{
    if (connection_ != nullptr)
    {
        connection_->resume();
    }
}

void proxied_call::limit_deadline(milliseconds latest)
{
    deadline_ = std::min(deadline_, latest);
}

milliseconds proxied_call::due() const
{
    if (connecting_)
    {
        return std::min(deadline_, connect_due_);
    }
    return deadline_;
}

void proxied_call::on_timeout()
{
    if (connection_ == nullptr)
    {
        refuse(awaits_configuration_ ? error_kind::vm_not_ready
                                     : error_kind::deadline_unreachable);
        return;
    }
    const bool too_late = worker_.now() >= deadline_;
    end_attempt(too_late ? error_kind::deadline_exceeded
                         : error_kind::target_unreachable,
                false);
}

bool proxied_call::is_active() const
{
    return active_;
}

void proxied_call::dispatch_to(const target_entry& target)
{
    start_attempt(target, false);
}

void proxied_call::refuse(error_kind kind)
{
    if (worker_state_ != nullptr)
    {
        worker_.withdraw(*this, *worker_state_);
    }
    if (lifecycle_.refuse())
    {
        const bool no_other = kind == error_kind::no_target_available;
        respond(no_other ? last_failure_.value_or(kind) : kind);
    }
}

void proxied_call::set_expected_wait(milliseconds value)
{
    expected_wait_ = value;
}

bool proxied_call::is_excluded(const target_state* state) const
{
    // While an attempt runs, its target is no choice for a hedge.
    return state == target_.get() ||
           std::find(excluded_.begin(), excluded_.end(), state) !=
               excluded_.end();
}

const service_entry& proxied_call::service() const
{
    return *service_;
}

const account_spec* proxied_call::account() const
{
    return account_;
}

const region_limit& proxied_call::regions() const
{
    return regions_;
}

void proxied_call::set_target_summary(const target_summary& summary)
{
    target_summary_ = summary;
}

bool proxied_call::refresh_service()
{
    const auto& newest = worker_.table();
    if (newest != table_)
    {
        const auto* found = newest->find_service(worker_state_->state_->name_);
        if (found == nullptr)
        {
            return false;
        }
        table_ = newest;
        service_ = found;
        rule_ = nullptr;
    }
    return true;
}

traffic_class proxied_call::priority() const
{
    return class_;
}

milliseconds proxied_call::deadline() const
{
    return deadline_;
}

milliseconds proxied_call::work_time() const
{
    return expected_work_time(*work_, worker_.last_time());
}

milliseconds proxied_call::begin_wait()
{
    wait_began_at_ = worker_.now();
    link_.update_timer();
    return latest_start(deadline_, work_time());
}

milliseconds proxied_call::waited(milliseconds now) const
{
    return now - wait_began_at_;
}

const std::optional<queue_ticket>& proxied_call::ticket() const
{
    return ticket_;
}

void proxied_call::set_ticket(std::optional<queue_ticket> value)
{
    ticket_ = value;
}

void proxied_call::reset(milliseconds arrived_at)
{
    lifecycle_.start(false);
    head_ = nullptr;
    call_id_.clear();
    came_from_vm_ = false;
    is_head_request_ = false;
    awaits_configuration_ = false;
    table_ = worker_.table();
    service_ = nullptr;
    rule_ = nullptr;
    accounts_.reset();
    account_ = nullptr;
    account_permit_.reset();
    target_permit_.reset();
    awaits_permit_ = false;
    if (hedge_ != nullptr)
    {
        hedge_->reset();
    }
    worker_state_ = nullptr;
    ticket_.reset();
    started_at_ = arrived_at;
    wait_began_at_ = arrived_at;
    deadline_ = started_at_ + worker_.core().settings_.request_timeout_;
    body_.clear();
    body_sent_ = 0;
    body_dropped_ = false;
    request_complete_ = false;
    target_.reset();
    to_vm_ = false;
    forward_tried_ = false;
    connecting_ = false;
    response_chunked_ = false;
    buffered_response_.clear();
    buffers_response_ = false;
    attempts_ = 0;
    withdrawn_attempts_ = 0;
    possible_runs_ = 0;
    latency_objective_ = milliseconds(0.0);
    work_.reset();
    excluded_.clear();
    last_failure_.reset();
    refused_with_room_ = false;
    target_summary_.reset();
    expected_wait_.reset();
    vm_outcome_.clear();
    vm_reason_.clear();
}

void proxied_call::route_call()
{
    if (attempts_ == 0 && is_too_late_for_stop())
    {
        refuse(error_kind::vm_stopping);
        return;
    }
    if (worker_.now() >= deadline_)
    {
        refuse(error_kind::deadline_unreachable);
        return;
    }
    if (!refresh_service())
    {
        refuse(error_kind::no_target_available);
        return;
    }
    if (should_forward())
    {
        forward_tried_ = true;
        worker_.counters().forwarded_.fetch_add(1, relaxed);
        start_attempt(service_->dispatcher_target_, true);
        return;
    }
    if (!has_account_permit())
    {
        request_account_permit();
        return;
    }
    worker_.dispatch_or_enqueue(*this, link_.share_call());
}

// Returns whether this VM stops before the work of the call can be done.
bool proxied_call::is_too_late_for_stop() const
{
    return worker_.core().finishing_.load(relaxed) ||
           worker_.now() >= latest_start(worker_.calls_end_at(), work_time());
}

bool proxied_call::should_forward() const
{
    const auto* dispatcher = service_->dispatcher_target_.state_.get();
    return dispatcher != nullptr && !came_from_vm_ && !forward_tried_ &&
           may_forward_to(*dispatcher, worker_.now());
}

} // namespace anvilturn
