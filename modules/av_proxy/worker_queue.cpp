// The part of the worker that queues calls, refuses those that can't start in
// time and dispatches the others to targets.

#include <av_proxy/worker.hpp>

#include <av_core/error.hpp>
#include <av_proxy/proxied_call.hpp>
#include <av_routing/split_choice.hpp>
#include <av_routing/target_summary.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace anvilturn
{
namespace
{

using boost::system::error_code;

constexpr std::chrono::milliseconds poll_interval{2};
// A load response triggers the dispatch of waiting calls; the timer covers
// responses that do not arrive.
constexpr std::chrono::milliseconds load_query_poll_interval{8};
// Interval at which calls that await the configuration are checked.
constexpr std::chrono::milliseconds pending_poll_interval{5};

} // namespace

worker_service_state& worker::worker_state_of(const service_entry& service)
{
    auto& worker_state = worker_states_[service.spec_.name_];
    const auto threads = core_.workers_.size();
    const auto limit = std::max<std::size_t>(
        1, static_cast<std::size_t>(service.spec_.queue_limit_) / threads);
    if (worker_state == nullptr)
    {
        worker_state =
            std::make_unique<worker_service_state>(service.state_, limit);
    }
    if (worker_state->queue_.empty())
    {
        worker_state->state_ = service.state_;
    }
    worker_state->queue_.set_limit(limit);
    return *worker_state;
}

const std::string& worker::service_of(const rule_spec& rule)
{
    if (rule.split_.empty())
    {
        return rule.service_;
    }
    const auto number = split_calls_[rule.name_]++;
    const auto part = choose_part(rule.split_, split_phase_, number);
    return rule.split_[part].service_;
}

std::shared_ptr<work_estimate> worker::work_of(const rule_spec& rule)
{
    auto& work = rule_work_[rule.name_];
    if (work == nullptr)
    {
        work = std::make_shared<work_estimate>();
    }
    return work;
}

void worker::dispatch_or_enqueue(proxied_call& call,
                                 std::shared_ptr<proxied_call> shared)
{
    if (!has_permitted_target(call.service(), call.regions()))
    {
        // Not queued, where it would wait behind calls that have targets.
        call.refuse(error_kind::no_target_available);
        return;
    }
    auto& worker_state = worker_state_of(call.service());
    const bool queries_first = uses_load_queries(call.service());
    if (queries_first)
    {
        earn_load_query_tokens(worker_state);
    }
    if (queries_first || !worker_state.queue_.empty())
    {
        enqueue(call, worker_state, std::move(shared));
        dispatch_waiting(worker_state);
        return;
    }
    const target_entry* chosen = nullptr;
    switch (choose(call.service(), &call, chosen))
    {
    case choice_result::chosen:
        call.dispatch_to(*chosen);
        return;
    case choice_result::none:
        call.refuse(error_kind::no_target_available);
        return;
    case choice_result::wait:
        break;
    }
    enqueue(call, worker_state, std::move(shared));
    schedule_waiting_poll(poll_interval);
    // A slot may have become free on another thread since the choice, when that
    // thread did not see this call waiting yet.
    dispatch_waiting(worker_state);
}

void worker::withdraw(proxied_call& call, worker_service_state& worker_state)
{
    if (call.ticket() && worker_state.queue_.withdraw(*call.ticket()))
    {
        decrement_waiting(worker_state);
    }
    call.set_ticket(std::nullopt);
}

void worker::on_slot_freed(const std::shared_ptr<service_state>& service)
{
    const auto found = worker_states_.find(service->name_);
    if (found != worker_states_.end() && !found->second->queue_.empty())
    {
        dispatch_waiting(*found->second);
        return;
    }
    if (service->waiting_calls_total_.load() > 0)
    {
        wake_other_worker(service);
    }
}

// Returns the states that exist now as a copy, since dispatching the calls of
// one may add others.
std::vector<worker_service_state*> worker::worker_states()
{
    std::vector<worker_service_state*> result;
    for (const auto& worker_state : worker_states_)
    {
        result.push_back(worker_state.second.get());
    }
    return result;
}

// Enqueues the call, or refuses it if the queue is full or it can't start in
// time.
void worker::enqueue(proxied_call& call,
                     worker_service_state& worker_state,
                     std::shared_ptr<proxied_call> shared)
{
    auto& queue = worker_state.queue_;
    const auto value = call.priority();
    const auto latest_start = call.begin_wait();
    const auto schedule = schedule_of(value, worker_state);
    const auto expected_wait =
        wait_behind(schedule, queue.size_ahead_of(value, latest_start));
    if (!queue.accepts(value))
    {
        refuse_for_load(call, error_kind::queue_full, expected_wait);
        return;
    }
    const auto waiting = queue.latest_starts(value);
    if (!has_place_for(latest_start, waiting, schedule))
    {
        refuse_for_load(call, error_kind::deadline_unreachable, expected_wait);
        return;
    }
    if (queue.empty())
    {
        worker_state.unslowed_awaited_since_ = cached_now_;
    }
    if (waiting.empty())
    {
        auto& rate = worker_state.rate_of(value);
        rate = at_first_wait(rate, cached_now_);
    }
    call.set_ticket(queue.push(std::move(shared), value, latest_start));
    worker_state.state_->waiting_[index_].fetch_add(1);
    worker_state.state_->waiting_calls_total_.fetch_add(1);
    while (queue.is_over_limit())
    {
        const auto displaced = *queue.displace();
        const auto lower = displaced->priority();
        decrement_waiting(worker_state);
        displaced->set_ticket(std::nullopt);
        refuse_for_load(
            *displaced,
            error_kind::queue_full,
            wait_behind(schedule_of(lower, worker_state), queue.size(lower)));
    }
}

// Refuses a call for which too many others wait.
void worker::refuse_for_load(proxied_call& call,
                             error_kind kind,
                             milliseconds expected_wait)
{
    // Zero if no rate is known yet, or no call is ahead.
    if (expected_wait.count() > 0.0)
    {
        call.set_expected_wait(expected_wait);
    }
    call.refuse(kind);
}

// Returns when the waiting calls of the class are expected to start.
start_schedule worker::schedule_of(traffic_class value,
                                   worker_service_state& worker_state) const
{
    return {cached_now_, mean_interval(worker_state.rate_of(value))};
}

// Removes the calls whose latest start has passed from the queue. Dispatches
// those that a target can take at once and refuses the others.
void worker::refuse_expired(worker_service_state& worker_state)
{
    const auto expired = worker_state.queue_.take_expired(now());
    for (const auto& call : expired)
    {
        decrement_waiting(worker_state);
        call->set_ticket(std::nullopt);
    }
    for (const auto& call : expired)
    {
        // Refusing one may have shown that the caller of others has gone.
        if (call->is_active() && !dispatch_expired(*call))
        {
            call->refuse(error_kind::deadline_unreachable);
        }
    }
}

// Refuses the waiting calls that can't start in time by the rate at which calls
// leave the queue now, so that their callers can try elsewhere at once.
void worker::refuse_too_late(worker_service_state& worker_state)
{
    std::vector<std::shared_ptr<proxied_call>> refused;
    std::vector<milliseconds> expected_waits;
    for (std::size_t index = 0; index < traffic_class_count; ++index)
    {
        const auto value = static_cast<traffic_class>(index);
        auto& queue = worker_state.queue_;
        const auto schedule = schedule_of(value, worker_state);
        const auto late = calls_too_late(queue.latest_starts(value), schedule);
        for (const auto position : late)
        {
            expected_waits.push_back(wait_behind(schedule, position));
        }
        for (auto& call : queue.take(value, late))
        {
            decrement_waiting(worker_state);
            call->set_ticket(std::nullopt);
            refused.push_back(std::move(call));
        }
    }
    for (std::size_t index = 0; index < refused.size(); ++index)
    {
        if (refused[index]->is_active())
        {
            refuse_for_load(*refused[index],
                            error_kind::deadline_unreachable,
                            expected_waits[index]);
        }
    }
}

// Dispatches a call whose latest start has passed to a target that can take it
// now. Returns whether there is one.
bool worker::dispatch_expired(proxied_call& call)
{
    if (!call.refresh_service() || !uses_load_queries(call.service()) ||
        cached_now_ >= call.deadline())
    {
        return false;
    }
    const target_entry* chosen = nullptr;
    if (choose(call.service(), &call, chosen) != choice_result::chosen)
    {
        call.set_target_summary(summarize_targets(views_));
        return false;
    }
    call.dispatch_to(*chosen);
    return true;
}

void worker::dispatch_waiting(worker_service_state& worker_state)
{
    refuse_expired(worker_state);
    refuse_too_late(worker_state);
    while (!worker_state.queue_.empty())
    {
        // Keeps the chosen entry alive while calls are refused or dispatched.
        const auto current_table = table();
        const auto* service =
            current_table->find_service(worker_state.state_->name_);
        const auto head = *worker_state.queue_.peek();
        const target_entry* chosen = nullptr;
        const auto result = service == nullptr ? choice_result::none
                            : awaits_cold_permit(*service, *head)
                                ? choice_result::wait
                                : choose(*service, head.get(), chosen);
        if (result == choice_result::wait)
        {
            const bool queried =
                send_load_queries(*service, worker_state, *head);
            schedule_waiting_poll(queried ? load_query_poll_interval
                                          : poll_interval);
            return;
        }
        const auto call = pop(worker_state);
        if (result == choice_result::none)
        {
            call->refuse(error_kind::no_target_available);
            continue;
        }
        if (!call->refresh_service())
        {
            release_slot(*chosen->state_);
            call->refuse(error_kind::no_target_available);
            continue;
        }
        const auto value = call->priority();
        auto& rate = worker_state.rate_of(value);
        rate =
            after_dequeue(rate, worker_state.queue_.size(value), cached_now_);
        call->dispatch_to(*chosen);
    }
}

std::shared_ptr<proxied_call> worker::pop(worker_service_state& worker_state)
{
    auto call = *worker_state.queue_.pop();
    decrement_waiting(worker_state);
    call->set_ticket(std::nullopt);
    return call;
}

void worker::decrement_waiting(worker_service_state& worker_state)
{
    worker_state.state_->waiting_[index_].fetch_sub(1);
    worker_state.state_->waiting_calls_total_.fetch_sub(1);
}

void worker::wake_other_worker(const std::shared_ptr<service_state>& service)
{
    const auto count = core_.workers_.size();
    for (std::size_t step = 1; step < count; ++step)
    {
        const auto other = (index_ + step) % count;
        if (service->waiting_[other].load() > 0)
        {
            core_.workers_[other]->post_dispatch_waiting(service);
            return;
        }
    }
}

// Load estimates decay and refreshes arrive without any event of a call, so the
// waiting calls are checked periodically.
void worker::schedule_waiting_poll(std::chrono::milliseconds interval)
{
    if (std::exchange(poll_scheduled_, true))
    {
        return;
    }
    poll_timer_.expires_after(interval);
    poll_timer_.async_wait(
        [this](const error_code& error)
        {
            poll_scheduled_ = false;
            if (error)
            {
                return;
            }
            for (auto* worker_state : worker_states())
            {
                dispatch_waiting(*worker_state);
            }
        });
}

void worker::await_configuration(std::shared_ptr<proxied_call> call)
{
    pending_calls_.push_back(std::move(call));
    if (pending_calls_.size() == 1)
    {
        schedule_pending_poll();
    }
}

milliseconds worker::started_at() const
{
    return started_at_;
}

void worker::schedule_pending_poll()
{
    pending_timer_.expires_after(pending_poll_interval);
    pending_timer_.async_wait(
        [this](const error_code& error)
        {
            if (!error)
            {
                resume_pending();
            }
        });
}

void worker::resume_pending()
{
    auto calls = std::exchange(pending_calls_, {});
    for (auto& call : calls)
    {
        if (call->awaits_configuration())
        {
            call->resume();
        }
        if (call->awaits_configuration())
        {
            pending_calls_.push_back(std::move(call));
        }
    }
    if (!pending_calls_.empty())
    {
        schedule_pending_poll();
    }
}

} // namespace anvilturn
