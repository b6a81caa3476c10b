// The part of the worker that chooses a target: what the choice policy gets to
// know of the targets and the call, and the load queries that come before it.

#include <av_proxy/worker.hpp>

#include <av_proxy/outlier_check.hpp>
#include <av_proxy/proxied_call.hpp>
#include <av_routing/load_estimate.hpp>

#include <algorithm>

namespace anvilturn
{
namespace
{

// Pause between load queries while no target has room.
constexpr milliseconds load_query_pause(30.0);
// Token bucket of load queries: tokens per call, capacity, and tokens per tick.
constexpr double load_query_tokens_per_call = 3.5;
constexpr double max_load_query_tokens = 24.0;
constexpr double load_query_tokens_per_tick = 0.3;
constexpr int choice_attempts = 3;
constexpr int dispatcher_limit_factor = 2;
constexpr auto relaxed = std::memory_order_relaxed;

void add_load_query_tokens(worker_service_state& worker_state, double count)
{
    worker_state.load_query_tokens_ = std::min(
        max_load_query_tokens, worker_state.load_query_tokens_ + count);
}

} // namespace

void worker::on_load_query_ended(const std::string& service)
{
    const auto found = worker_states_.find(service);
    if (found == worker_states_.end())
    {
        return;
    }
    auto& worker_state = *found->second;
    auto& queried = worker_state.queried_targets_;
    queried.erase(std::remove_if(queried.begin(),
                                 queried.end(),
                                 [this](const target_state* target)
                                 {
                                     return !load_query_sender_.awaits(target);
                                 }),
                  queried.end());
    dispatch_waiting(worker_state);
}

worker::choice_result worker::choose(const service_entry& service,
                                     const proxied_call* call,
                                     const target_entry*& chosen)
{
    bool refresh_pending = false;
    const int eligible = fill_views(service, call, refresh_pending);
    if (service.policy_ == nullptr || (eligible == 0 && !refresh_pending))
    {
        return choice_result::none;
    }
    for (int attempt = 0; eligible > 0 && attempt < choice_attempts; ++attempt)
    {
        auto input = input_for(service, call);
        input.sequence_ = service.state_->choices_.fetch_add(1, relaxed);
        const auto index = service.policy_->choose_(input);
        if (!index)
        {
            break;
        }
        auto& view = views_[*index];
        const auto& target = service.targets_[*index];
        if (try_acquire_slot(*target.state_, view.local_limit_))
        {
            if (!is_slowed(view))
            {
                worker_state_of(service).unslowed_awaited_since_ = cached_now_;
            }
            chosen = &target;
            return choice_result::chosen;
        }
        view.local_in_flight_ = view.local_limit_; // Another thread was faster.
    }
    return choice_result::wait;
}

choice_input worker::input_for(const service_entry& service,
                               const proxied_call* call)
{
    choice_input input{views_};
    input.waiting_calls_ = waiting_with(service, call);
    input.random_ = random_bits();
    if (uses_load_queries(service))
    {
        auto& worker_state = worker_state_of(service);
        if (call != nullptr)
        {
            input.work_time_ = call->work_time();
            input.time_left_ = call->deadline() - cached_now_;
            input.waited_ = call->waited(cached_now_);
        }
        input.unslowed_awaited_for_ =
            cached_now_ - worker_state.unslowed_awaited_since_;
        input.awaits_load_reports_ = awaits_load_responses(worker_state);
        input.may_query_ = !service.spec_.health_path_.empty();
    }
    return input;
}

// Returns whether load responses that a choice should wait for may still
// arrive.
bool worker::awaits_load_responses(worker_service_state& worker_state)
{
    if (cached_now_ >= worker_state.queried_until_)
    {
        worker_state.queried_targets_.clear();
    }
    return !worker_state.queried_targets_.empty();
}

// Sends load queries for the waiting calls. Returns whether responses are
// awaited now.
bool worker::send_load_queries(const service_entry& service,
                               worker_service_state& worker_state,
                               const proxied_call& call)
{
    if (!uses_load_queries(service) || service.spec_.health_path_.empty())
    {
        return false;
    }
    if (awaits_load_responses(worker_state))
    {
        return true;
    }
    if (cached_now_ < worker_state.next_load_query_at_ ||
        worker_state.load_query_tokens_ < 1.0)
    {
        return false;
    }
    const auto indexes =
        service.policy_->select_load_queries_(input_for(service, &call));
    worker_state.queried_until_ = cached_now_ + load_query_wait_limit;
    worker_state.next_load_query_at_ = cached_now_;
    for (const auto index : indexes)
    {
        const auto& target = service.targets_[index];
        worker_state.load_query_tokens_ -= 1.0;
        worker_state.queried_targets_.push_back(target.state_.get());
        load_query_sender_.send_query(service, target);
    }
    if (indexes.empty())
    {
        worker_state.next_load_query_at_ = cached_now_ + load_query_pause;
    }
    return !worker_state.queried_targets_.empty();
}

void worker::query_load_ahead(const proxied_call& call)
{
    const auto& service = call.service();
    if (!uses_load_queries(service))
    {
        return;
    }
    bool refresh_pending = false;
    fill_views(service, &call, refresh_pending);
    if (!service.policy_->choose_(input_for(service, &call)))
    {
        send_load_queries(service, worker_state_of(service), call);
    }
}

int worker::fill_views(const service_entry& service,
                       const proxied_call* call,
                       bool& refresh_pending)
{
    eligibility_input input;
    input.now_ = now();
    input.resumed_at_ = milliseconds(core_.resumed_at_ms_.load());
    input.refreshed_at_ = milliseconds(core_.refreshed_at_ms_.load());
    input.isolated_ = core_.isolated_.load(relaxed);
    views_.clear();
    const bool queries_first = uses_load_queries(service);
    const bool limits_cold = limits_cold_targets(service);
    const auto* const profile =
        queries_first ? &worker_state_of(service).profile_ : nullptr;
    const region_limit unlimited;
    const auto& regions = call == nullptr ? unlimited : call->regions();
    for (const auto& target : service.targets_)
    {
        const int best = queries_first
                             ? best_concurrency(*profile, target.spec_.slots_)
                             : target.spec_.slots_;
        auto view = view_of(target.spec_, *target.state_, input.now_);
        const auto status =
            is_permitted(target, regions)
                ? eligibility(target.spec_, *target.state_, input)
                : target_eligibility::excluded;
        refresh_pending =
            refresh_pending || status == target_eligibility::awaits_refresh;
        view.eligible_ =
            status == target_eligibility::eligible &&
            (call == nullptr || !call->is_excluded(target.state_.get()));
        view.same_domain_ = target.same_domain_;
        view.local_limit_ = concurrency_limit_for(service, target);
        view.best_concurrency_ = best;
        view.has_connection_ = has_idle_connection(target);
        if (limits_cold)
        {
            apply_cold_permit(target, view);
        }
        views_.push_back(view);
    }
    exclude_outliers(views_, service.targets_, input.now_);
    return static_cast<int>(std::count_if(views_.begin(),
                                          views_.end(),
                                          [](const target_view& view)
                                          {
                                              return view.eligible_;
                                          }));
}

bool worker::has_idle_connection(const target_entry& target) const
{
    const auto pool = pools_.find(target.state_.get());
    return pool != pools_.end() && !pool->second->idle_.empty();
}

// Returns the number of calls of the service that wait at this VM, including
// this one.
std::size_t worker::waiting_with(const service_entry& service,
                                 const proxied_call* call) const
{
    const int waiting = service.state_->waiting_calls_total_.load(relaxed);
    const bool is_new = call != nullptr && !call->ticket();
    return static_cast<std::size_t>(std::max(1, waiting + (is_new ? 1 : 0)));
}

int worker::concurrency_limit_for(const service_entry& service,
                                  const target_entry& target)
{
    // The policy of a dispatcher VM itself weighs one more call at a target
    // against waiting here; this limit is only an upper bound.
    int limit = dispatcher_limit_factor * target.spec_.slots_;
    if (!service.is_dispatcher_vm_)
    {
        limit = service.spec_.target_concurrency_ > 0
                    ? service.spec_.target_concurrency_
                    : adaptive_limit(*target.state_, target.spec_.slots_);
    }
    const auto pool = pools_.find(target.state_.get());
    const bool connection_share_used =
        pool != pools_.end() && pool->second->idle_.empty() &&
        pool->second->open_ >= target.connections_per_thread_;
    return connection_share_used ? 0 : limit;
}

// Adds the tokens for the queries of one call.
void worker::earn_load_query_tokens(worker_service_state& worker_state)
{
    add_load_query_tokens(worker_state, load_query_tokens_per_call);
}

// Refills the tokens of load queries, so that targets can be queried for calls
// that wait for long.
void worker::refill_load_query_tokens()
{
    for (const auto& worker_state : worker_states_)
    {
        add_load_query_tokens(*worker_state.second, load_query_tokens_per_tick);
    }
}

} // namespace anvilturn
