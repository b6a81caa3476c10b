#include <av_proxy/hedged_attempt.hpp>

#include <av_core/log_event.hpp>
#include <av_grants/permit_client.hpp>
#include <av_http/message_writer.hpp>
#include <av_net/duration.hpp>
#include <av_proxy/proxied_call.hpp>
#include <av_proxy/response_status.hpp>
#include <av_proxy/target_refusal.hpp>
#include <av_proxy/worker.hpp>

#include <boost/asio/post.hpp>

#include <algorithm>
#include <cassert>
#include <utility>

namespace anvilturn
{
namespace
{

// Covers the round trip of a load query, whose response is recent at the next
// decision.
constexpr milliseconds check_interval{5.0};
// Budgets fill slowly, compared with a round trip.
constexpr milliseconds budget_check_interval{25.0};
// Load queries for one attempt, each to one target.
constexpr int max_queries = 3;
constexpr int first_error_status = 400;
constexpr auto relaxed = std::memory_order_relaxed;

} // namespace

hedged_attempt::hedged_attempt(worker& owner,
                               caller_link& link,
                               proxied_call& call)
    : worker_(owner)
    , link_(link)
    , call_(call)
    , timer_(owner.context())
{
}

hedged_attempt::~hedged_attempt()
{
    if (state_.connection_ != nullptr)
    {
        state_.connection_->abandon();
        release_slot(*state_.target_);
    }
}

bool hedged_attempt::is_running() const
{
    return state_.connection_ != nullptr;
}

std::size_t hedged_attempt::buffered_bytes() const
{
    return state_.body_.size();
}

void hedged_attempt::watch()
{
    if (used_)
    {
        return;
    }
    ++generation_;
    queries_left_ = max_queries;
    if (const auto at = first_hedge_check(call_.hedge_facts()))
    {
        check_later(*at);
    }
}

void hedged_attempt::cancel()
{
    ++generation_;
    timer_.cancel();
    call_.return_permit(state_.account_permit_);
    if (const auto connection = std::exchange(state_.connection_, nullptr))
    {
        connection->abandon();
        log_end(error_kind::call_cancelled, false);
        release(false);
    }
}

void hedged_attempt::reset()
{
    used_ = false;
    suppressed_ = false;
}

hedge_state hedged_attempt::hand_over()
{
    ++generation_;
    return std::exchange(state_, {});
}

void hedged_attempt::check_later(milliseconds at)
{
    const auto delay = std::max(milliseconds(0.0), at - worker_.last_time());
    timer_.expires_after(to_duration(delay));
    timer_.async_wait(
        [this, self = link_.share_call(), generation = generation_](
            const boost::system::error_code& error)
        {
            if (!error && generation == generation_)
            {
                check();
            }
        });
}

void hedged_attempt::check()
{
    const auto now = worker_.now();
    const bool is_answering =
        call_.lifecycle_.phase() != call_phase::sent || call_.buffers_response_;
    if (is_answering || !call_.refresh_service())
    {
        return;
    }
    auto input = current_input(now);
    auto action = decide_hedge(input, now);
    // Looking at all targets is costly, so only a call that could be hedged
    // does.
    hedge_candidate candidate;
    if (action == hedge_action::wait && input.waiting_calls_ == 0)
    {
        candidate = worker_.find_hedge_target(call_);
    }
    if (candidate.entry_ != nullptr)
    {
        input.better_ = candidate.seen_;
        action = decide_hedge(input, now);
    }
    switch (action)
    {
    case hedge_action::send:
        start(candidate, now);
        return;
    case hedge_action::request_permit:
        request_permit();
        return;
    case hedge_action::never:
        call_.return_permit(state_.account_permit_);
        return;
    case hedge_action::budget_spent:
        count_suppressed();
        check_later(now + budget_check_interval);
        return;
    case hedge_action::wait:
        query_load(candidate);
        break;
    }
    check_later(now + check_interval);
}

// Returns the input of the decision, without a better target.
hedge_input hedged_attempt::current_input(milliseconds now) const
{
    auto input = call_.hedge_facts();
    const auto& worker_state = *call_.worker_state_;
    input.waiting_calls_ =
        worker_state.state_->waiting_calls_total_.load(relaxed);
    input.needs_permit_ = needs_permit();
    input.has_permit_ = state_.account_permit_.has_value() &&
                        now < state_.account_permit_->expires_at_;
    input.retries_ = worker_state.budget_;
    input.retry_burst_ = call_.service().spec_.retry_burst_;
    input.hedges_ = worker_state.hedges_;
    return input;
}

bool hedged_attempt::needs_permit() const
{
    const auto* const account = call_.account();
    return account != nullptr && worker_.permits() != nullptr &&
           account_limit(*account, worker_.core().settings_.limit_bounds_);
}

// Requests a permit of the account. If there is none, the call is not hedged.
void hedged_attempt::request_permit()
{
    call_.return_permit(state_.account_permit_);
    const limit_key key{limit_kind::account, call_.account()->name_};
    worker_.permits()->acquire(
        key,
        [this, self = link_.share_call(), key, generation = generation_](
            const permit_answer& answer)
        {
            if (generation == generation_)
            {
                on_permit(answer);
            }
            else if (answer.result_ == permit_result::granted)
            {
                worker_.permits()->give_back(key, answer.expires_at_);
            }
        });
}

void hedged_attempt::on_permit(const permit_answer& answer)
{
    if (answer.result_ != permit_result::granted)
    {
        return;
    }
    state_.account_permit_ = held_permit{
        {limit_kind::account, call_.account()->name_}, answer.expires_at_};
    check_later(worker_.now());
}

void hedged_attempt::count_suppressed()
{
    if (!std::exchange(suppressed_, true))
    {
        worker_.counters().hedges_suppressed_.fetch_add(1, relaxed);
    }
}

// Asks the best target for its load if that is not known.
void hedged_attempt::query_load(const hedge_candidate& candidate)
{
    const auto& service = call_.service();
    const bool is_unknown =
        candidate.entry_ != nullptr && !is_fresh(candidate.seen_);
    if (!is_unknown || queries_left_ == 0 ||
        service.spec_.health_path_.empty() ||
        service.state_->waiting_calls_total_.load(relaxed) > 0)
    {
        return;
    }
    if (worker_.query_load(service, *candidate.entry_))
    {
        --queries_left_;
    }
}

void hedged_attempt::start(const hedge_candidate& candidate, milliseconds now)
{
    assert(candidate.entry_ != nullptr);
    const auto& target = *candidate.entry_;
    if (!try_acquire_slot(*target.state_, candidate.local_limit_))
    {
        check_later(now + check_interval);
        return;
    }
    ++generation_;
    auto& worker_state = *call_.worker_state_;
    worker_state.hedges_ = after_hedge(worker_state.hedges_);
    worker_state.budget_ = after_extra_attempt(worker_state.budget_);
    worker_.counters().hedges_sent_.fetch_add(1, relaxed);
    worker_.counters().extra_attempts_.fetch_add(1, relaxed);
    ++call_.attempts_;
    used_ = true;
    state_.target_ = target.state_;
    state_.slots_ = target.spec_.slots_;
    state_.started_at_ = now;
    state_.load_at_start_ = candidate.seen_.load_;
    state_.slowdown_at_start_ = candidate.seen_.slowdown_;
    state_.connecting_ = true;
    log_start(candidate);
    // The attempt may end at once.
    const auto connection = worker_.connect(target);
    state_.connection_ = connection;
    connection->begin(*this, call_.is_head_request_, call_.call_id_);
    if (state_.connecting_)
    {
        limit_connect_time();
    }
}

// Ends the attempt if the target does not accept the connection in time.
void hedged_attempt::limit_connect_time()
{
    timer_.expires_after(
        to_duration(worker_.core().settings_.connect_timeout_));
    timer_.async_wait(
        [this, self = link_.share_call(), generation = generation_](
            const boost::system::error_code& error)
        {
            if (!error && generation == generation_ && state_.connecting_)
            {
                fail(error_kind::target_unreachable, false);
            }
        });
}

// Returns whether the call may be sent to the chosen target now. Since the
// choice the target may have left or become cold, and the permit may have
// expired.
bool hedged_attempt::may_send_now()
{
    const auto now = worker_.now();
    const auto& permit = state_.account_permit_;
    const bool has_permit = permit && now < permit->expires_at_;
    return now < call_.deadline() && !was_paused(state_.started_at_, now) &&
           call_.may_call(*state_.target_) && !is_cold(*state_.target_, now) &&
           (has_permit || !needs_permit());
}

void hedged_attempt::on_connected()
{
    state_.connecting_ = false;
    if (!may_send_now())
    {
        // Nothing was sent, so this is no failure of the target.
        fail(error_kind::call_cancelled, false);
        return;
    }
    if (state_.account_permit_)
    {
        state_.account_permit_->spent_ = true;
    }
    const auto connection = state_.connection_;
    write_request_head(
        connection->output(),
        *call_.head_,
        call_.additions_for(*state_.target_, worker_.last_time()),
        worker_.core().settings_.dialect_);
    connection->output().append(call_.body_);
    connection->set_request_complete(true);
    connection->flush();
}

void hedged_attempt::on_bytes_sent()
{
    state_.bytes_sent_ = true;
    record_sent(*state_.target_);
}

void hedged_attempt::on_output_drained()
{
}

void hedged_attempt::on_response_head(const response_head& head)
{
    const auto& settings = worker_.core().settings_;
    const auto refusal = refusal_of(head, settings.dialect_);
    const bool is_unsigned = !settings.dialect_.signature_.empty() &&
                             !head.has_signature_ &&
                             head.status_ < first_error_status;
    if (refusal || is_unsigned || !is_conclusive(head.status_))
    {
        call_.record_response_head(*state_.target_, head);
    }
    if (refusal)
    {
        record_refusal_by(*state_.target_, state_.slots_, head, worker_.now());
        fail(*refusal, true);
    }
    else if (is_unsigned)
    {
        fail(error_kind::target_answer_malformed, false);
    }
    else if (!is_conclusive(head.status_))
    {
        fail(error_kind::target_failed, false);
    }
    else
    {
        state_.head_ = head;
        if (settings.buffered_response_bytes_ == 0)
        {
            win(false);
        }
    }
}

void hedged_attempt::on_response_body(std::string_view bytes)
{
    state_.body_.append(bytes);
    const auto limit =
        std::min(worker_.core().settings_.buffered_response_bytes_,
                 worker_.response_buffer_limit());
    if (state_.body_.size() > limit)
    {
        win(false);
    }
}

void hedged_attempt::on_input_processed()
{
}

void hedged_attempt::on_response_complete(bool reusable)
{
    const auto self = link_.share_call();
    win(true);
    call_.on_response_complete(reusable);
}

// Cancels the first attempt, so that the caller gets the response of this one.
void hedged_attempt::win(bool complete)
{
    worker_.counters().hedges_won_.fetch_add(1, relaxed);
    call_.switch_to_hedge(error_kind::call_cancelled, false, complete);
}

void hedged_attempt::on_attempt_failed(error_kind kind)
{
    fail(kind, false);
}

// Ends the attempt, and leaves the call to the other one.
void hedged_attempt::fail(error_kind kind, bool refused)
{
    const auto self = link_.share_call();
    const auto connection = std::exchange(state_.connection_, nullptr);
    if (refused)
    {
        connection->discard_remaining_response();
    }
    else
    {
        connection->abandon();
    }
    auto& target = *state_.target_;
    if (kind == error_kind::target_unreachable)
    {
        record_unreachable(target, worker_.now());
    }
    else if (is_target_failure(kind) && state_.bytes_sent_)
    {
        record_result(target, true, worker_.now());
    }
    // A target to which nothing was sent remains a choice for a retry.
    if (kind == error_kind::target_unreachable || state_.bytes_sent_)
    {
        call_.excluded_.push_back(&target);
    }
    else
    {
        ++call_.withdrawn_attempts_;
    }
    log_end(kind, refused);
    release(refused);
}

void hedged_attempt::log_end(error_kind kind, bool refused) const
{
    log_event(log_level::info, "hedge_ended")
        .field("call", call_.call_id_)
        .field("target", state_.target_->name_)
        .field("reason", describe(kind).name_)
        .field("refused", refused)
        .field("ran_ms", (worker_.now() - state_.started_at_).count())
        .write();
}

// Releases the slot and the permit. The target may have run the call if bytes
// were sent and it has not refused it.
void hedged_attempt::release(bool refused)
{
    if (state_.bytes_sent_ && !refused)
    {
        ++call_.possible_runs_;
        call_.lifecycle_.record_parallel_run();
    }
    if (state_.account_permit_ && refused)
    {
        state_.account_permit_->spent_ = false;
    }
    call_.return_permit(state_.account_permit_);
    release_slot(*state_.target_);
    worker_.post_slot_freed(call_.service().state_);
    state_ = {};
}

void hedged_attempt::log_start(const hedge_candidate& candidate) const
{
    if (!is_logged(log_level::info))
    {
        return;
    }
    log_event(log_level::info, "hedge_sent")
        .field("call", call_.call_id_)
        .field("service", call_.worker_state_->state_->name_)
        .field("target", state_.target_->name_)
        .field("attempt", call_.attempts_)
        .field("first_target", call_.target_->name_)
        .field("first_load", call_.load_at_start_)
        .field("first_slowdown", call_.slowdown_at_start_)
        .field("ran_ms",
               (state_.started_at_ - call_.attempt_started_at_).count())
        .field("reported_load", candidate.seen_.load_)
        .field("report_age_ms", candidate.seen_.report_age_->count())
        .write();
}

} // namespace anvilturn
