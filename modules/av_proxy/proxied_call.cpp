#include <av_proxy/proxied_call.hpp>

#include <av_core/log_event.hpp>
#include <av_http/message_writer.hpp>
#include <av_limits/patience.hpp>
#include <av_model/call_outcome.hpp>
#include <av_proxy/answer_status.hpp>
#include <av_proxy/worker.hpp>
#include <av_routing/random_bits.hpp>

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace anvilturn
{
namespace
{

constexpr int largest_depth = 25;
// Attempts that were refused count here too.
constexpr int most_attempts_in_all = 8;
constexpr int first_failed_status = 500;
constexpr int first_error_status = 400;
constexpr int misdirected_status = 421;
constexpr int too_many_status = 429;
constexpr int busy_status = 503;
constexpr std::string_view own_path_prefix = "/.anvilturn/";
constexpr std::string_view ready_path = "/.anvilturn/ready";
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

void proxied_call::begin(const request_head& head,
                         bool came_from_vm,
                         bool complete)
{
    reset();
    request_complete_ = complete;
    head_ = &head;
    active_ = true;
    came_from_vm_ = came_from_vm;
    is_head_request_ = head.method_ == "HEAD";
    worker_.counters().calls_.fetch_add(1, relaxed);
    if (answer_own_path())
    {
        return;
    }
    name_call();
    if (const auto refusal = find_service())
    {
        refuse(*refusal);
        return;
    }
    idempotent_ = rule_->idempotent_;
    most_attempts_ = rule_->most_attempts_;
    objective_ = rule_->objective_;
    life_.start(idempotent_);
    auto allowed = head.deadline_.value_or(service_->spec_.default_deadline_);
    if (rule_->timeout_.count() > 0.0)
    {
        allowed = std::min(allowed, rule_->timeout_);
    }
    spent_before_ = head.deadline_ ? worker_.time_spent_before(rule_->name_,
                                                               *head.deadline_)
                                   : milliseconds(0.0);
    deadline_ = started_at_ + allowed;
    if (head.expects_continue_)
    {
        link_.output().append("HTTP/1.1 100 Continue\r\n\r\n");
        link_.flush();
    }
}

void proxied_call::reject(error_kind kind)
{
    if (!active_)
    {
        reset();
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
    body_dropped_ = true; // The request can't be sent whole any more.
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
    const auto phase = life_.phase();
    if (phase == call_phase::sent || phase == call_phase::answering)
    {
        return connection_->unsent() < settings.relay_buffer_bytes_;
    }
    return body_.size() < settings.held_body_bytes_;
}

void proxied_call::on_request_body(bool complete)
{
    request_complete_ = complete;
    if (life_.phase() == call_phase::queued && !ticket_)
    {
        if (connection_ == nullptr && (complete || !wants_body()))
        {
            seek_target();
        }
        return;
    }
    const auto phase = life_.phase();
    if (phase == call_phase::sent || phase == call_phase::answering)
    {
        send_body();
    }
}

void proxied_call::on_caller_gone()
{
    if (!active_)
    {
        return;
    }
    if (lane_ != nullptr)
    {
        worker_.withdraw(*this, *lane_);
    }
    const auto connection = std::exchange(connection_, nullptr);
    if (connection != nullptr)
    {
        connection->abandon();
        life_.end_attempt({});
        const auto service = service_->state_;
        release_target();
        worker_.on_slot_freed(service);
    }
    else
    {
        life_.refuse();
    }
    count(error_kind::call_cancelled);
    finish(false);
}

void proxied_call::on_caller_drained()
{
    if (connection_ != nullptr)
    {
        connection_->resume();
    }
}

milliseconds proxied_call::due() const
{
    if (connecting_)
    {
        return std::min(deadline_, connect_due_);
    }
    return deadline_;
}

void proxied_call::on_due()
{
    if (connection_ == nullptr)
    {
        refuse(error_kind::deadline_unreachable);
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
    if (lane_ != nullptr)
    {
        worker_.withdraw(*this, *lane_);
    }
    if (life_.refuse())
    {
        const bool no_other = kind == error_kind::no_target_available;
        respond(no_other ? last_failure_.value_or(kind) : kind);
    }
}

bool proxied_call::is_excluded(const target_state* state) const
{
    return std::find(excluded_.begin(), excluded_.end(), state) !=
           excluded_.end();
}

const service_entry& proxied_call::service() const
{
    return *service_;
}

bool proxied_call::refresh_service()
{
    const auto& newest = worker_.table();
    if (newest != table_)
    {
        const auto* found = newest->find_service(lane_->state_->name_);
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

milliseconds proxied_call::begin_wait(milliseconds usual_time)
{
    usual_time_ = usual_time;
    wait_began_at_ = worker_.now();
    give_up_at_ = give_up_point(wait_terms());
    link_.update_timer();
    return give_up_at_;
}

wait_facts proxied_call::wait_terms() const
{
    wait_facts facts;
    facts.arrived_ = started_at_;
    facts.deadline_ = deadline_;
    facts.objective_ = objective_;
    facts.spent_before_ = spent_before_;
    facts.usual_time_ = usual_time_;
    return facts;
}

milliseconds proxied_call::objective_left(milliseconds now) const
{
    const bool has_objective = objective_.count() > 0.0;
    return (has_objective ? started_at_ - spent_before_ + objective_
                          : deadline_) -
           now;
}

double proxied_call::patience_spent(milliseconds now) const
{
    const auto whole = give_up_at_ - wait_began_at_;
    return whole.count() <= 0.0
               ? 1.0
               : std::clamp((now - wait_began_at_) / whole, 0.0, 1.0);
}

const std::optional<queue_ticket>& proxied_call::ticket() const
{
    return ticket_;
}

void proxied_call::set_ticket(std::optional<queue_ticket> value)
{
    ticket_ = value;
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
        // The choice is as old as the pause: nothing has left, choose anew.
        end_attempt(error_kind::target_answer_lost, false);
        return;
    }
    auto& connection = *connection_;
    request_additions additions;
    additions.call_id_ = call_id_;
    additions.deadline_left_ = deadline_ - now;
    additions.depth_ = to_vm_ ? head_->depth_ : head_->depth_ + 1;
    additions.forwarded_ = to_vm_;
    additions.deployment_ = worker_.core().settings_.deployment_;
    if (!to_vm_)
    {
        additions.expected_target_ = target_->name_;
    }
    additions.framing_ = head_->framing_;
    additions.length_ = head_->length_;
    if (request_complete_ && head_->framing_ == body_framing::chunked)
    {
        additions.framing_ = body_framing::length;
        additions.length_ = body_.size();
    }
    body_framing_ = additions.framing_;
    write_request_head(connection.output(),
                       *head_,
                       additions,
                       worker_.core().settings_.dialect_);
    body_given_ = 0;
    send_body();
}

void proxied_call::on_bytes_left()
{
    life_.record_bytes_left();
    if (target_ != nullptr)
    {
        record_sent(*target_);
    }
}

void proxied_call::on_output_drained()
{
    if (!request_complete_)
    {
        link_.read_on();
    }
}

void proxied_call::on_answer_head(const answer_head& head)
{
    const bool taken =
        to_vm_ ? take_vm_answer(head) : is_refusal(head) || take_failure(head);
    if (!taken)
    {
        relay_head(head);
    }
}

void proxied_call::on_answer_body(std::string_view bytes)
{
    if (is_head_request_)
    {
        return;
    }
    if (answer_chunked_)
    {
        write_chunk(answer_output(), bytes);
    }
    else
    {
        answer_output().append(bytes);
    }
    if (held_answer_.size() > worker_.core().settings_.held_answer_bytes_)
    {
        release_answer();
    }
}

void proxied_call::on_input_processed()
{
    if (holds_answer_)
    {
        return;
    }
    link_.flush();
    const bool slow =
        link_.unsent() > worker_.core().settings_.relay_buffer_bytes_;
    if (connection_ != nullptr && slow)
    {
        connection_->pause();
    }
}

void proxied_call::on_answer_complete(bool reusable)
{
    const auto connection = std::exchange(connection_, nullptr);
    if (answer_chunked_)
    {
        write_last_chunk(answer_output());
    }
    release_answer();
    attempt_summary result;
    result.answer_complete_ = true;
    life_.end_attempt(result);
    if (reusable)
    {
        connection->park(worker_.now());
    }
    else
    {
        connection->close();
    }
    observe_end();
    const auto service = service_->state_;
    const auto keep = link_.share_call();
    release_target();
    count_answered();
    finish(keep_alive_);
    worker_.on_slot_freed(service);
}

void proxied_call::on_attempt_lost(error_kind kind)
{
    end_attempt(kind, false);
}

void proxied_call::reset()
{
    life_.start(false);
    head_ = nullptr;
    call_id_.clear();
    came_from_vm_ = false;
    is_head_request_ = false;
    table_ = worker_.table();
    service_ = nullptr;
    rule_ = nullptr;
    lane_ = nullptr;
    ticket_.reset();
    started_at_ = worker_.now();
    deadline_ = started_at_ + worker_.core().settings_.request_timeout_;
    body_.clear();
    body_given_ = 0;
    body_dropped_ = false;
    request_complete_ = false;
    target_.reset();
    to_vm_ = false;
    home_tried_ = false;
    connecting_ = false;
    answer_chunked_ = false;
    held_answer_.clear();
    holds_answer_ = false;
    attempts_ = 0;
    runs_ = 0;
    spent_before_ = milliseconds(0.0);
    objective_ = milliseconds(0.0);
    usual_time_ = milliseconds(0.0);
    excluded_.clear();
    last_failure_.reset();
    vm_outcome_.clear();
    vm_reason_.clear();
}

void proxied_call::name_call()
{
    call_id_ = head_->call_id_;
    if (call_id_.empty())
    {
        call_id_ =
            absl::StrCat(absl::Hex(worker_.random_bits(), absl::kZeroPad16),
                         absl::Hex(worker_.random_bits(), absl::kZeroPad16));
    }
}

// Returns why the call can't be served, if so.
std::optional<error_kind> proxied_call::find_service()
{
    const auto& core = worker_.core();
    if (core.finishing_.load(relaxed))
    {
        return error_kind::vm_stopping;
    }
    if (head_->http_1_0_)
    {
        return error_kind::request_malformed;
    }
    if (table_->version_ == 0 ||
        (came_from_vm_ && head_->deployment_ != core.settings_.deployment_))
    {
        return error_kind::vm_not_ready;
    }
    if (head_->depth_ > largest_depth)
    {
        return error_kind::depth_exceeded;
    }
    rule_ = table_->rules_.match(*head_);
    service_ = rule_ == nullptr
                   ? nullptr
                   : table_->find_service(worker_.service_of(*rule_));
    if (service_ == nullptr)
    {
        return error_kind::service_unknown;
    }
    class_ = rule_->class_;
    lane_ = &worker_.lane_of(*service_);
    return std::nullopt;
}

// Answers what this VM answers itself. Returns whether it did.
bool proxied_call::answer_own_path()
{
    if (std::string_view(head_->target_).substr(0, own_path_prefix.size()) !=
        own_path_prefix)
    {
        return false;
    }
    if (head_->target_ != ready_path || head_->method_ != "GET")
    {
        name_call();
        refuse(error_kind::service_unknown);
        return true;
    }
    answer_ready_check();
    return true;
}

void proxied_call::answer_ready_check()
{
    const auto& core = worker_.core();
    own_answer answer;
    if (core.draining_.load())
    {
        answer.text_ = "stopping";
    }
    else if (!core.ready_.load())
    {
        answer.text_ = "starting";
    }
    else
    {
        answer.status_ = 200;
        answer.text_ = "ready";
    }
    answer.keep_alive_ = head_->keep_alive_ && core.accepting_.load();
    write_own_answer(link_.output(), answer, core.settings_.dialect_);
    life_.refuse();
    finish(answer.keep_alive_);
}

void proxied_call::seek_target()
{
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
    if (goes_home())
    {
        home_tried_ = true;
        worker_.counters().forwarded_.fetch_add(1, relaxed);
        start_attempt(service_->home_, true);
        return;
    }
    worker_.place(*this, link_.share_call());
}

bool proxied_call::goes_home() const
{
    const auto* home = service_->home_.state_.get();
    return home != nullptr && !came_from_vm_ && !home_tried_ &&
           may_forward_to(*home, worker_.now());
}

void proxied_call::start_attempt(const target_entry& target, bool to_vm)
{
    target_ = target.state_;
    target_slots_ = target.spec_.slots_;
    to_vm_ = to_vm;
    if (to_vm)
    {
        target_->own_in_flight_.fetch_add(1);
    }
    if (!life_.dispatch())
    {
        release_target();
        return;
    }
    if (++attempts_ == 1)
    {
        lane_->budget_ = after_first_attempt(lane_->budget_,
                                             service_->spec_.retry_ratio_,
                                             head_->depth_,
                                             service_->spec_.retry_burst_);
    }
    attempt_started_at_ = worker_.now();
    load_at_start_ = target_->reported_load_.load(relaxed) +
                     target_->sent_since_report_.load(relaxed);
    slowdown_at_start_ = target_->reported_slowdown_.load(relaxed);
    connecting_ = true;
    connect_due_ =
        attempt_started_at_ + worker_.core().settings_.connect_timeout_;
    trace_attempt();
    connection_ = worker_.connect(target);
    connection_->begin(*this, is_head_request_, call_id_);
    link_.update_timer();
}

// Gives the connection what it has not got of the body.
void proxied_call::send_body()
{
    const auto& settings = worker_.core().settings_;
    const auto connection = connection_;
    const auto fresh = std::string_view(body_).substr(body_given_);
    if (body_framing_ == body_framing::chunked)
    {
        write_chunk(connection->output(), fresh);
    }
    else
    {
        connection->output().append(fresh);
    }
    body_given_ = body_.size();
    if (request_complete_ && body_framing_ == body_framing::chunked)
    {
        write_last_chunk(connection->output());
    }
    connection->set_request_complete(request_complete_);
    if (body_.size() > settings.held_body_bytes_)
    {
        body_.clear();
        body_given_ = 0;
        body_dropped_ = true;
    }
    connection->flush();
    if (connection == connection_ && !request_complete_)
    {
        link_.read_on();
    }
}

void proxied_call::observe_answer(const answer_head& head)
{
    const auto* report = head.load_ ? &*head.load_ : nullptr;
    const auto now = worker_.now();
    if (head.idle_limit_)
    {
        target_->idle_limit_ms_.store(head.idle_limit_->count(), relaxed);
    }
    if (!record_answer(*target_, report, head.draining_, now))
    {
        return;
    }
    log_event(log_level::info, "target_draining_seen")
        .field("target", target_->name_)
        .write();
    const auto& core = worker_.core();
    if (core.listener_)
    {
        target_notice notice;
        notice.kind_ = target_notice_kind::draining;
        notice.target_ = target_->name_;
        notice.load_ = head.load_.value_or(load_report{});
        notice.load_.draining_ = true;
        notice.source_vm_ = core.settings_.vm_name_;
        core.listener_(notice);
    }
}

// Takes up a target's answer. Returns whether it refused the call, which then
// goes on elsewhere.
bool proxied_call::is_refusal(const answer_head& head)
{
    observe_answer(head);
    if (head.status_ == misdirected_status &&
        !worker_.core().settings_.dialect_.expected_target_.empty())
    {
        target_->moved_.store(true, relaxed);
        end_attempt(error_kind::target_moved, true);
        return true;
    }
    const bool says_busy =
        head.status_ == busy_status || head.status_ == too_many_status;
    if (!head.not_run_ || !says_busy)
    {
        return false;
    }
    if (!head.draining_)
    {
        record_refusal(*target_, target_slots_);
        record_result(*target_, true, worker_.now());
    }
    end_attempt(error_kind::target_refused, true);
    return true;
}

// Takes up the answer of the service's home VM. Returns whether the call goes
// on without it.
bool proxied_call::take_vm_answer(const answer_head& head)
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

// Whether the call may go to another target though it may have run.
bool proxied_call::may_try_elsewhere() const
{
    // This attempt counts as one that may have run.
    return idempotent_ && !body_dropped_ && runs_ + 1 < most_attempts_ &&
           attempts_ < most_attempts_in_all &&
           worker_.now() + usual_time_ < deadline_ && may_spend(lane_->budget_);
}

// Takes up an answer that is none, or a failure that another target may spare
// the caller. Returns whether the call goes on without it.
bool proxied_call::take_failure(const answer_head& head)
{
    const bool unsigned_success =
        !worker_.core().settings_.dialect_.signature_.empty() &&
        !head.signed_ && head.status_ < first_error_status;
    if (unsigned_success)
    {
        end_attempt(error_kind::target_answer_malformed, false);
        return true;
    }
    if (head.status_ < first_failed_status || !may_try_elsewhere())
    {
        return false;
    }
    end_attempt(error_kind::target_failed, false);
    return true;
}

std::string& proxied_call::answer_output()
{
    return holds_answer_ ? held_answer_ : link_.output();
}

// Gives the caller what was held of the answer.
void proxied_call::release_answer()
{
    if (!std::exchange(holds_answer_, false))
    {
        return;
    }
    life_.record_answer_started();
    link_.output().append(held_answer_);
    held_answer_.clear();
}

void proxied_call::relay_head(const answer_head& head)
{
    holds_answer_ = worker_.core().settings_.held_answer_bytes_ > 0;
    if (!holds_answer_)
    {
        life_.record_answer_started();
    }
    // Another VM's outcomes speak of targets rather than of that VM.
    answer_failed_ = !to_vm_ && head.status_ >= first_failed_status;
    keep_alive_ = head_->keep_alive_ && request_complete_ &&
                  !worker_.core().draining_.load(relaxed);
    answer_chunked_ = (head.framing_ == body_framing::chunked ||
                       head.framing_ == body_framing::until_close) &&
                      !is_head_request_;
    answer_additions additions;
    additions.call_id_ = call_id_;
    additions.outcome_ = vm_outcome_.empty() ? name_of(call_outcome::answered)
                                             : std::string_view(vm_outcome_);
    additions.reason_ = vm_reason_;
    additions.keep_alive_ = keep_alive_;
    additions.with_load_ = came_from_vm_;
    write_answer_head(
        answer_output(), head, additions, worker_.core().settings_.dialect_);
}

void proxied_call::observe_end()
{
    const auto now = worker_.now();
    const auto time = now - attempt_started_at_;
    record_result(*target_, answer_failed_, now);
    target_->failed_connections_.store(0, relaxed);
    if (!to_vm_ && !answer_failed_)
    {
        record_latency(*target_, time, target_slots_);
        lane_->latency_ = after_sample(lane_->latency_, time);
        lane_->profile_ = after_call(
            lane_->profile_, load_at_start_, slowdown_at_start_, time);
    }
    auto* const recorder = worker_.core().recorder_;
    if (recorder != nullptr)
    {
        recorder->record(worker_.index(), now - started_at_);
    }
}

// Ends the attempt without an answer, and goes on to what follows.
void proxied_call::end_attempt(error_kind kind, bool refused)
{
    const auto keep = link_.share_call();
    last_failure_ = kind;
    held_answer_.clear();
    holds_answer_ = false;
    const auto service = service_->state_;
    const auto phase = life_.phase();
    const bool nothing_left = phase == call_phase::dispatched;
    const bool free_of_charge = to_vm_ || nothing_left;
    runs_ += nothing_left || refused ? 0 : 1;
    trace_loss(kind, refused);
    leave_connection(kind, refused);
    attempt_summary result;
    result.target_refused_ = refused;
    result.replayable_ = !body_dropped_;
    result.deadline_left_ = worker_.now() < deadline_;
    result.budget_left_ = runs_ < most_attempts_ &&
                          attempts_ < most_attempts_in_all &&
                          (free_of_charge || may_spend(lane_->budget_));
    const auto verdict = life_.end_attempt(result);
    if (verdict == attempt_verdict::retry_allowed)
    {
        retry(free_of_charge);
    }
    else if (phase == call_phase::answering)
    {
        break_off(kind);
    }
    else
    {
        respond(refused && !result.budget_left_ ? error_kind::retry_budget_spent
                                                : kind);
    }
    worker_.on_slot_freed(service);
}

// Gives the attempt's connection and place back, and records what was seen.
void proxied_call::leave_connection(error_kind kind, bool refused)
{
    const auto connection = std::exchange(connection_, nullptr);
    // Nothing had left: this says nothing against the target.
    const bool went_stale = kind != error_kind::target_unreachable &&
                            life_.phase() == call_phase::dispatched;
    if (refused)
    {
        connection->discard_rest();
    }
    else
    {
        connection->abandon();
    }
    if (kind == error_kind::target_unreachable)
    {
        record_unreachable(*target_, worker_.now());
    }
    else if (is_target_failure(kind) && !went_stale)
    {
        record_result(*target_, true, worker_.now());
    }
    if (!went_stale)
    {
        excluded_.push_back(target_.get());
    }
    connecting_ = false;
    release_target();
}

void proxied_call::retry(bool free_of_charge)
{
    vm_outcome_.clear();
    vm_reason_.clear();
    if (!free_of_charge)
    {
        lane_->budget_ = after_extra_attempt(lane_->budget_);
    }
    worker_.counters().extra_attempts_.fetch_add(1, relaxed);
    seek_target();
}

// Ends a call whose answer was begun and can't be completed.
void proxied_call::break_off(error_kind kind)
{
    count(kind);
    active_ = false;
    worker_.counters().calls_.fetch_sub(1, relaxed);
    link_.break_off();
}

void proxied_call::release_target()
{
    if (target_ != nullptr)
    {
        release_slot(*target_);
        target_.reset();
    }
}

// Answers the call itself, by the outcome that it came to.
void proxied_call::respond(error_kind kind)
{
    const bool not_run = life_.phase() == call_phase::not_run;
    const auto reason = not_run ? not_run_reason(kind) : unknown_reason(kind);
    const auto& entry = describe(reason);
    own_answer answer;
    answer.status_ = status_of(reason);
    answer.call_id_ = call_id_;
    answer.outcome_ =
        name_of(not_run ? call_outcome::not_run : call_outcome::unknown);
    answer.reason_ = entry.name_;
    answer.text_ = entry.remedy_;
    if (answer.status_ == busy_status)
    {
        answer.retry_after_ = retry_after(reason);
    }
    answer.keep_alive_ = head_ != nullptr && head_->keep_alive_ &&
                         request_complete_ &&
                         !worker_.core().draining_.load(relaxed);
    answer.answers_head_request_ = is_head_request_;
    write_own_answer(link_.output(), answer, worker_.core().settings_.dialect_);
    count(reason);
    finish(answer.keep_alive_);
}

// Returns when the caller should come back.
milliseconds proxied_call::retry_after(error_kind reason) const
{
    const bool other_vm_may_serve =
        reason == error_kind::vm_stopping || reason == error_kind::vm_not_ready;
    if (other_vm_may_serve)
    {
        return return_at_once;
    }
    return delay_before_return(deadline_ - worker_.now(),
                               unit_interval(worker_.random_bits()));
}

// Counts a call that was not answered by a target.
void proxied_call::count(error_kind kind)
{
    trace_end(life_.phase() == call_phase::not_run
                  ? name_of(call_outcome::not_run)
                  : name_of(call_outcome::unknown),
              describe(kind).name_);
    auto& counters = worker_.counters();
    auto& outcome = life_.phase() == call_phase::not_run ? counters.not_run_
                                                         : counters.unknown_;
    outcome.fetch_add(1, relaxed);
    counters.reasons_[static_cast<std::size_t>(kind)].fetch_add(1, relaxed);
}

// Counts a call whose answer was relayed whole, by the outcome that it bears.
void proxied_call::count_answered()
{
    trace_end(vm_outcome_.empty() ? name_of(call_outcome::answered)
                                  : std::string_view(vm_outcome_),
              vm_reason_);
    auto& counters = worker_.counters();
    if (vm_outcome_ == name_of(call_outcome::not_run))
    {
        counters.not_run_.fetch_add(1, relaxed);
    }
    else if (vm_outcome_ == name_of(call_outcome::unknown))
    {
        counters.unknown_.fetch_add(1, relaxed);
    }
    else
    {
        counters.answered_.fetch_add(1, relaxed);
    }
}

// Says where the call goes and what was known of the target.
void proxied_call::trace_attempt() const
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
        .field("service", lane_->state_->name_)
        .field(to_vm_ ? "home_vm" : "target", target_->name_)
        .field("attempt", attempts_)
        .field("waited_ms", (attempt_started_at_ - started_at_).count())
        .field("reported_load", target_->reported_load_.load(relaxed))
        .field("slowdown", target_->reported_slowdown_.load(relaxed))
        .field("report_age_ms", (now - reported_at).count())
        .field("version", table_->version_)
        .write();
}

void proxied_call::trace_loss(error_kind kind, bool refused) const
{
    if (!is_logged(log_level::info))
    {
        return;
    }
    log_event(log_level::info, "attempt_ended")
        .field("call", call_id_)
        .field("target", target_->name_)
        .field("attempt", attempts_)
        .field("reason", describe(kind).name_)
        .field("refused", refused)
        .field("ran_ms", (worker_.now() - attempt_started_at_).count())
        .write();
}

void proxied_call::trace_end(std::string_view outcome,
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
    if (lane_ != nullptr)
    {
        event.field("service", lane_->state_->name_)
            .field("objective_ms", objective_.count())
            .field("waiting", lane_->queue_.size())
            .field("usual_ms", usual_time(lane_->profile_).count())
            .field("retry_tokens", lane_->budget_.tokens_);
    }
    event.write();
}

void proxied_call::finish(bool keep_alive)
{
    active_ = false;
    worker_.counters().calls_.fetch_sub(1, relaxed);
    lane_ = nullptr;
    service_ = nullptr;
    table_.reset();
    link_.finish_answer(keep_alive);
}

} // namespace anvilturn
