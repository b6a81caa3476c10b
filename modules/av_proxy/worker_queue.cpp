// The part of the worker that queues calls, applies the choice policy and
// dispatches calls to targets.

#include <av_proxy/worker.hpp>

#include <av_core/error.hpp>
#include <av_proxy/outlier_check.hpp>
#include <av_proxy/proxied_call.hpp>
#include <av_routing/split_choice.hpp>
#include <av_routing/target_census.hpp>

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
constexpr std::chrono::milliseconds question_poll_interval{8};
// Longest time that a call waits for load responses; most targets respond
// within a fraction of it.
constexpr milliseconds answer_wait(15.0);
// Pause between load queries while no target has room.
constexpr milliseconds question_pause(30.0);
// Interval at which calls that await the configuration are checked.
constexpr std::chrono::milliseconds held_poll_interval{5};
// Token bucket of load queries: tokens per call, capacity, and tokens per tick.
constexpr double questions_per_call = 3.5;
constexpr double most_questions_saved = 24.0;
constexpr double questions_per_tick = 0.3;
constexpr int choice_attempts = 3;
constexpr int home_limit_factor = 2;
constexpr auto relaxed = std::memory_order_relaxed;

} // namespace

service_lane& worker::lane_of(const service_entry& service)
{
    auto& lane = lanes_[service.spec_.name_];
    const auto threads = core_.workers_.size();
    const auto limit = std::max<std::size_t>(
        1, static_cast<std::size_t>(service.spec_.queue_limit_) / threads);
    if (lane == nullptr)
    {
        lane = std::make_unique<service_lane>(service.state_, limit);
    }
    if (lane->queue_.empty())
    {
        lane->state_ = service.state_;
    }
    lane->queue_.set_limit(limit);
    return *lane;
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

milliseconds worker::time_spent_before(const std::string& rule,
                                       milliseconds deadline)
{
    auto& longest = longest_deadlines_[rule];
    longest = std::max(longest, deadline);
    return anvilturn::time_spent_before(longest, deadline);
}

void worker::on_target_answered(const std::string& service)
{
    const auto found = lanes_.find(service);
    if (found == lanes_.end())
    {
        return;
    }
    auto& lane = *found->second;
    auto& awaited = lane.awaited_;
    awaited.erase(std::remove_if(awaited.begin(),
                                 awaited.end(),
                                 [this](const target_state* target)
                                 {
                                     return !asker_.awaits(target);
                                 }),
                  awaited.end());
    serve_waiting(lane);
}

void worker::place(proxied_call& call, std::shared_ptr<proxied_call> shared)
{
    auto& lane = lane_of(call.service());
    const auto* policy = call.service().policy_;
    if (policy != nullptr && policy->ask_ != nullptr)
    {
        lane.questions_left_ = std::min(
            most_questions_saved, lane.questions_left_ + questions_per_call);
    }
    const bool asks = policy != nullptr && policy->ask_ != nullptr;
    if (asks || !lane.queue_.empty())
    {
        enqueue(call, lane, std::move(shared));
        serve_waiting(lane);
        return;
    }
    const target_entry* chosen = nullptr;
    switch (choose(call.service(), &call, chosen))
    {
    case choice_end::chosen:
        call.dispatch_to(*chosen);
        return;
    case choice_end::none:
        call.refuse(error_kind::no_target_available);
        return;
    case choice_end::wait:
        break;
    }
    enqueue(call, lane, std::move(shared));
    poll_waiting(poll_interval);
    // A slot may have become free on another thread since the choice, when that
    // thread did not see this call waiting yet.
    serve_waiting(lane);
}

void worker::withdraw(proxied_call& call, service_lane& lane)
{
    if (call.ticket() && lane.queue_.withdraw(*call.ticket()))
    {
        left_queue(lane);
    }
    call.set_ticket(std::nullopt);
}

void worker::on_slot_freed(const std::shared_ptr<service_state>& service)
{
    const auto found = lanes_.find(service->name_);
    if (found != lanes_.end() && !found->second->queue_.empty())
    {
        serve_waiting(*found->second);
        return;
    }
    if (service->waiting_total_.load() > 0)
    {
        wake_other(service);
    }
}

// Returns the states that exist now as a copy, since dispatching the calls of
// one may add others.
std::vector<service_lane*> worker::lanes()
{
    std::vector<service_lane*> result;
    for (const auto& lane : lanes_)
    {
        result.push_back(lane.second.get());
    }
    return result;
}

worker::choice_end worker::choose(const service_entry& service,
                                  const proxied_call* call,
                                  const target_entry*& chosen)
{
    bool awaits = false;
    const int eligible = fill_views(service, call, awaits);
    if (service.policy_ == nullptr || (eligible == 0 && !awaits))
    {
        return choice_end::none;
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
        if (try_acquire_slot(*target.state_, view.own_limit_))
        {
            chosen = &target;
            return choice_end::chosen;
        }
        view.own_in_flight_ = view.own_limit_; // Another thread was faster.
    }
    return choice_end::wait;
}

choice_input worker::input_for(const service_entry& service,
                               const proxied_call* call)
{
    choice_input input{views_};
    input.waiting_calls_ = waiting_with(service, call);
    input.random_ = random_bits();
    if (service.policy_->ask_ != nullptr)
    {
        auto& lane = lane_of(service);
        input.usual_time_ = usual_time(lane.profile_);
        if (call != nullptr)
        {
            input.objective_left_ = call->objective_left(last_seen_);
            input.patience_spent_ = call->patience_spent(last_seen_);
        }
        input.awaits_answers_ = awaits_answers(lane);
        input.may_ask_ = !service.spec_.health_path_.empty();
    }
    return input;
}

// Whether load responses that a choice should wait for may still arrive.
bool worker::awaits_answers(service_lane& lane)
{
    if (last_seen_ >= lane.awaited_until_)
    {
        lane.awaited_.clear();
    }
    return !lane.awaited_.empty();
}

// Sends load queries for the waiting calls. Returns whether responses are
// awaited now.
bool worker::ask_targets(const service_entry& service,
                         service_lane& lane,
                         const proxied_call& call)
{
    if (service.policy_->ask_ == nullptr || service.spec_.health_path_.empty())
    {
        return false;
    }
    if (awaits_answers(lane))
    {
        return true;
    }
    if (last_seen_ < lane.next_question_ || lane.questions_left_ < 1.0)
    {
        return false;
    }
    const auto indexes = service.policy_->ask_(input_for(service, &call));
    lane.awaited_until_ = last_seen_ + answer_wait;
    lane.next_question_ = last_seen_;
    for (const auto index : indexes)
    {
        const auto& target = service.targets_[index];
        lane.questions_left_ -= 1.0;
        lane.awaited_.push_back(target.state_.get());
        asker_.ask(service, target);
    }
    if (indexes.empty())
    {
        lane.next_question_ = last_seen_ + question_pause;
    }
    return !lane.awaited_.empty();
}

int worker::fill_views(const service_entry& service,
                       const proxied_call* call,
                       bool& awaits)
{
    choice_moment moment;
    moment.now_ = now();
    moment.resumed_at_ = milliseconds(core_.resumed_at_ms_.load());
    moment.refreshed_at_ = milliseconds(core_.refreshed_at_ms_.load());
    moment.isolated_ = core_.isolated_.load(relaxed);
    views_.clear();
    const bool asks =
        service.policy_ != nullptr && service.policy_->ask_ != nullptr;
    const auto* const profile = asks ? &lane_of(service).profile_ : nullptr;
    for (const auto& target : service.targets_)
    {
        const int best = asks ? best_concurrency(*profile, target.spec_.slots_)
                              : target.spec_.slots_;
        auto view = view_of(target.spec_, *target.state_, moment.now_);
        const auto status = eligibility(target.spec_, *target.state_, moment);
        awaits = awaits || status == target_eligibility::awaits_refresh;
        view.eligible_ =
            status == target_eligibility::eligible &&
            (call == nullptr || !call->is_excluded(target.state_.get()));
        view.same_domain_ = target.same_domain_;
        view.own_limit_ = limit_for(service, target);
        view.best_concurrency_ = best;
        view.has_connection_ = has_idle_connection(target);
        views_.push_back(view);
    }
    exclude_outliers(views_, service.targets_, moment.now_);
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

// Number of calls of the service that wait at this VM, this one included.
std::size_t worker::waiting_with(const service_entry& service,
                                 const proxied_call* call) const
{
    const int waiting = service.state_->waiting_total_.load(relaxed);
    const bool is_new = call != nullptr && !call->ticket();
    return static_cast<std::size_t>(std::max(1, waiting + (is_new ? 1 : 0)));
}

int worker::limit_for(const service_entry& service, const target_entry& target)
{
    // The policy of a dispatcher VM itself weighs one more call at a target
    // against waiting here; this limit is only an upper bound.
    int limit = home_limit_factor * target.spec_.slots_;
    if (!service.is_home_)
    {
        limit = service.spec_.target_concurrency_ > 0
                    ? service.spec_.target_concurrency_
                    : adaptive_limit(*target.state_, target.spec_.slots_);
    }
    const auto pool = pools_.find(target.state_.get());
    const bool share_used =
        pool != pools_.end() && pool->second->idle_.empty() &&
        pool->second->open_ >= target.connections_per_thread_;
    return share_used ? 0 : limit;
}

void worker::enqueue(proxied_call& call,
                     service_lane& lane,
                     std::shared_ptr<proxied_call> shared)
{
    if (!lane.queue_.accepts(call.priority()))
    {
        call.refuse(error_kind::queue_full);
        return;
    }
    if (is_hopeless(call, lane))
    {
        call.refuse(error_kind::deadline_unreachable);
        return;
    }
    call.set_ticket(
        lane.queue_.push(std::move(shared),
                         call.priority(),
                         call.begin_wait(usual_time_of(call.service(), lane))));
    lane.state_->waiting_[index_].fetch_add(1);
    lane.state_->waiting_total_.fetch_add(1);
    while (lane.queue_.is_over_limit())
    {
        const auto displaced = lane.queue_.displace();
        left_queue(lane);
        (*displaced)->set_ticket(std::nullopt);
        (*displaced)->refuse(error_kind::queue_full);
    }
}

// Returns the time at a target to allow for when a waiting call is given its
// wait limit.
milliseconds worker::usual_time_of(const service_entry& service,
                                   const service_lane& lane) const
{
    const bool asks =
        service.policy_ != nullptr && service.policy_->ask_ != nullptr;
    return asks ? usual_time(lane.profile_) : lane.latency_.value_;
}

// Whether the call would be answered after its deadline if it waited.
bool worker::is_hopeless(const proxied_call& call, const service_lane& lane)
{
    admission_question question;
    question.calls_ahead_ = lane.queue_.size_ahead_of(call.priority());
    question.time_left_ = call.deadline() - last_seen_;
    question.p95_latency_ = usual_time_of(call.service(), lane);
    return !can_meet_deadline(lane.rate_, question);
}

// Takes the calls whose wait limit is over, which would be answered too late
// after a longer wait, out of the queue. Refuses those that no target can take
// at once.
void worker::refuse_late(service_lane& lane)
{
    const auto late = lane.queue_.take_expired(now());
    for (const auto& call : late)
    {
        left_queue(lane);
        call->set_ticket(std::nullopt);
    }
    for (const auto& call : late)
    {
        if (!place_late(*call))
        {
            call->refuse(error_kind::deadline_unreachable);
        }
    }
}

// Dispatches a call whose wait limit is over to any target that has room for
// it. Returns whether there is one.
bool worker::place_late(proxied_call& call)
{
    if (!call.refresh_service() || call.service().policy_ == nullptr ||
        call.service().policy_->ask_ == nullptr ||
        last_seen_ >= call.deadline())
    {
        return false;
    }
    const target_entry* chosen = nullptr;
    if (choose(call.service(), &call, chosen) != choice_end::chosen)
    {
        call.note_targets(count_targets(views_));
        return false;
    }
    call.dispatch_to(*chosen);
    return true;
}

void worker::serve_waiting(service_lane& lane)
{
    refuse_late(lane);
    while (!lane.queue_.empty())
    {
        // Keeps the chosen entry alive while calls are refused or dispatched.
        const auto keep = table();
        const auto* service = keep->find_service(lane.state_->name_);
        const auto head = *lane.queue_.peek();
        const target_entry* chosen = nullptr;
        const auto end = service == nullptr
                             ? choice_end::none
                             : choose(*service, head.get(), chosen);
        if (end == choice_end::wait)
        {
            const bool asked = ask_targets(*service, lane, *head);
            poll_waiting(asked ? question_poll_interval : poll_interval);
            return;
        }
        const auto call = pop(lane);
        if (end == choice_end::none)
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
        lane.rate_ = after_start(lane.rate_, lane.queue_.size(), last_seen_);
        call->dispatch_to(*chosen);
    }
}

std::shared_ptr<proxied_call> worker::pop(service_lane& lane)
{
    auto call = *lane.queue_.pop();
    left_queue(lane);
    call->set_ticket(std::nullopt);
    return call;
}

void worker::left_queue(service_lane& lane)
{
    lane.state_->waiting_[index_].fetch_sub(1);
    lane.state_->waiting_total_.fetch_sub(1);
}

void worker::wake_other(const std::shared_ptr<service_state>& service)
{
    const auto count = core_.workers_.size();
    for (std::size_t step = 1; step < count; ++step)
    {
        const auto other = (index_ + step) % count;
        if (service->waiting_[other].load() > 0)
        {
            core_.workers_[other]->serve_waiting_later(service);
            return;
        }
    }
}

// Load estimates decay and refreshes arrive without any event of a call, so the
// waiting calls are checked periodically.
void worker::poll_waiting(std::chrono::milliseconds interval)
{
    if (std::exchange(poll_waits_, true))
    {
        return;
    }
    poll_timer_.expires_after(interval);
    poll_timer_.async_wait(
        [this](const error_code& error)
        {
            poll_waits_ = false;
            if (error)
            {
                return;
            }
            for (auto* lane : lanes())
            {
                serve_waiting(*lane);
            }
        });
}

void worker::hold(std::shared_ptr<proxied_call> call)
{
    held_.push_back(std::move(call));
    if (held_.size() == 1)
    {
        poll_held();
    }
}

milliseconds worker::started_at() const
{
    return started_at_;
}

void worker::poll_held()
{
    held_timer_.expires_after(held_poll_interval);
    held_timer_.async_wait(
        [this](const error_code& error)
        {
            if (!error)
            {
                resume_held();
            }
        });
}

void worker::resume_held()
{
    auto calls = std::exchange(held_, {});
    for (auto& call : calls)
    {
        if (call->is_held())
        {
            call->resume();
        }
        if (call->is_held())
        {
            held_.push_back(std::move(call));
        }
    }
    if (!held_.empty())
    {
        poll_held();
    }
}

// Refills the tokens of load queries, so that targets can be queried for calls
// that wait for long.
void worker::earn_questions()
{
    for (const auto& lane : lanes_)
    {
        auto& left = lane.second->questions_left_;
        left = std::min(most_questions_saved, left + questions_per_tick);
    }
}

} // namespace anvilturn
