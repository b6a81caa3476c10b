// The way of a call: arrival, dispatch, target, answer.
#include "service_play.hpp"

#include <av_routing/dispatcher_vm.hpp>

#include <string>

namespace policy_bench
{

namespace
{

// Calls that arrive earlier are not counted: the system is empty at first.
constexpr double settling_ms = 1000.0;
constexpr double straggler_slowness = 10.0;
constexpr double cold_slowness = 5.0;
constexpr double cold_length_ms = 2000.0;
constexpr double fast_failure_ms = 0.3;
constexpr int target_with_fault = 1;

} // namespace

run_result service_play::play()
{
    plan_events();
    const double end_ms = settings_.seconds_ * ms_per_second;
    while (!events_.empty())
    {
        now_ms_ = events_.next_time_ms();
        const auto next = events_.pop();
        handle(next);
        if (now_ms_ > end_ms + 5.0 * settings_.deadline_ms_)
        {
            break;
        }
    }
    result_.simulated_seconds_ = settings_.seconds_;
    result_.targets_ = work_.service_.targets_;
    result_.slots_ = work_.service_.slots_;
    return std::move(result_);
}

int service_play::domain_of_target(int target) const
{
    return target % domains_;
}

int service_play::domain_of_vm(int vm) const
{
    return vm % domains_;
}

double service_play::delay_ms(int domain_a, int domain_b) const
{
    return domain_a == domain_b ? settings_.deployment_.same_domain_delay_ms_
                                : settings_.deployment_.other_domain_delay_ms_;
}

double service_play::hop_ms(int vm_a, int vm_b) const
{
    return vm_a == vm_b ? 0.0
                        : delay_ms(domain_of_vm(vm_a), domain_of_vm(vm_b));
}

std::vector<target_properties> service_play::facts_for(int vm) const
{
    std::vector<target_properties> result;
    for (int t = 0; t < work_.service_.targets_; ++t)
    {
        target_properties facts;
        facts.slots_ = work_.service_.slots_;
        facts.local_limit_ = limit_of_one_vm();
        facts.same_domain_ = way_.place_ == dispatch_place::region_home ||
                             domain_of_target(t) == domain_of_vm(vm);
        facts.takes_new_work_ = in_subset(vm, t);
        result.push_back(facts);
    }
    return result;
}

int service_play::limit_of_one_vm() const
{
    if (way_.place_ != dispatch_place::arrival)
    {
        return 2 * work_.service_.slots_;
    }
    return way_.reserves_shares_ ? 1 : work_.service_.slots_;
}

bool service_play::in_subset(int vm, int target) const
{
    if (way_.subset_ == 0)
    {
        return true;
    }
    const int count = work_.service_.targets_;
    const int first = vm * way_.subset_ % count;
    return (target - first + count) % count < way_.subset_;
}

void service_play::assign_homes()
{
    fleet_view fleet;
    const bool whole_region = way_.place_ == dispatch_place::region_home;
    for (int vm = 0; vm < settings_.deployment_.vms_; ++vm)
    {
        vm_description member;
        member.name_ = std::to_string(vm);
        member.failure_domain_ =
            whole_region ? "region" : std::to_string(domain_of_vm(vm));
        if (vm != dead_vm_)
        {
            fleet.members_.push_back(member);
        }
    }
    homes_.clear();
    for (int domain = 0; domain < domains_; ++domain)
    {
        const auto name =
            whole_region ? std::string("region") : std::to_string(domain);
        const auto* home = dispatcher_vm(work_.service_.name_, name, fleet);
        homes_.push_back(std::stoi(home->name_));
    }
}

int service_play::dispatcher_for(int vm) const
{
    if (way_.place_ == dispatch_place::arrival)
    {
        return vm;
    }
    if (way_.place_ == dispatch_place::central)
    {
        return 0;
    }
    return homes_[static_cast<std::size_t>(domain_of_vm(vm))];
}

void service_play::handle(const event& next)
{
    switch (next.kind_)
    {
    case event_kind::call_arrives:
        return on_call_arrives(next.subject_);
    case event_kind::call_at_dispatcher:
        return on_call_at_dispatcher(next.subject_);
    case event_kind::call_at_target:
        return on_call_at_target(next.subject_);
    case event_kind::call_ends:
        return on_call_ends(next.subject_);
    case event_kind::answer_back:
        return on_answer_back(next.subject_);
    case event_kind::hedge_due:
        return on_hedge_due(next.subject_);
    case event_kind::stall_starts:
        return on_stall_starts(next.subject_);
    case event_kind::stall_ends:
        return start_calls(next.subject_);
    case event_kind::probe_due:
        return on_probe_due(next.subject_);
    case event_kind::share_due:
        return on_share_due(next.subject_);
    case event_kind::homes_share_due:
        return on_homes_share_due();
    case event_kind::wake_up:
        return on_wake_up();
    case event_kind::check_stragglers:
        return on_check_stragglers();
    case event_kind::home_dies:
        return on_home_dies();
    case event_kind::home_replaced:
        return assign_homes();
    }
}

int service_play::new_call()
{
    calls_.emplace_back();
    return static_cast<int>(calls_.size()) - 1;
}

live_call& service_play::call(int number)
{
    return calls_[static_cast<std::size_t>(number)];
}

dispatcher& service_play::dispatcher_of(const live_call& each)
{
    return dispatchers_[static_cast<std::size_t>(each.dispatcher_)];
}

target_record& service_play::record_of(const live_call& each)
{
    return dispatcher_of(each).records_[static_cast<std::size_t>(each.target_)];
}

bool service_play::counts(const live_call& each) const
{
    return each.arrival_ms_ >= settling_ms;
}

void service_play::on_call_arrives(int plan_number)
{
    const auto& plan = work_.calls_[static_cast<std::size_t>(plan_number)];
    const int number = new_call();
    auto& here = call(number);
    here.vm_ = plan.vm_ == dead_vm_
                   ? (plan.vm_ + 1) % settings_.deployment_.vms_
                   : plan.vm_;
    here.arrival_ms_ = now_ms_;
    here.service_ms_ = plan.service_ms_;
    here.class_ = plan.class_;
    here.dispatcher_ = dispatcher_for(here.vm_);
    if (here.dispatcher_ == dead_vm_)
    {
        // The connection is refused: choose here.
        here.dispatcher_ = here.vm_;
    }
    if (counts(here))
    {
        ++result_.arrived_[static_cast<std::size_t>(here.class_)];
    }
    const double hop = way_.place_ == dispatch_place::central
                           ? 0.0
                           : hop_ms(here.vm_, here.dispatcher_);
    add_event(now_ms_ + hop, event_kind::call_at_dispatcher, number);
    const auto next = static_cast<std::size_t>(plan_number) + 1;
    if (next < work_.calls_.size())
    {
        add_event(work_.calls_[next].arrival_ms_,
                  event_kind::call_arrives,
                  plan_number + 1);
    }
}

void service_play::on_call_at_dispatcher(int number)
{
    auto& here = call(number);
    auto& queue = dispatcher_of(here).queue_;
    const double time_left =
        here.arrival_ms_ + settings_.deadline_ms_ - now_ms_;
    if (!queue.accepts(here.class_) ||
        !dispatcher_of(here).can_meet_deadline(here.class_, time_left))
    {
        return refuse(number);
    }
    const milliseconds deadline(here.arrival_ms_ + settings_.deadline_ms_);
    queue.push(number, here.class_, deadline);
    while (queue.is_over_limit())
    {
        refuse(*queue.displace());
    }
    drain(here.dispatcher_);
}

void service_play::refuse(int number)
{
    if (counts(call(number)))
    {
        ++result_.refused_;
    }
}

void service_play::drain(int vm)
{
    if (way_.place_ == dispatch_place::central)
    {
        return drain_central();
    }
    auto& chooser = dispatchers_[static_cast<std::size_t>(vm)];
    if (chooser.queue_.empty())
    {
        return;
    }
    const auto last_start = milliseconds(now_ms_) + chooser.p95_.value_;
    for (const int expired : chooser.queue_.take_expired(last_start))
    {
        refuse(expired);
    }
    while (!chooser.queue_.empty())
    {
        const auto target = chooser.choose(now_ms_);
        if (!target)
        {
            return;
        }
        send(chooser.start_next(now_ms_), static_cast<int>(*target));
    }
}

void service_play::send(int number, int target)
{
    auto& here = call(number);
    here.target_ = target;
    here.sent_ms_ = now_ms_;
    auto& record = record_of(here);
    record = after_send(record);
    ++result_.sent_;
    const int from = domain_of_vm(here.dispatcher_);
    const int to = domain_of_target(target);
    result_.spilled_ += from == to ? 0 : 1;
    add_event(now_ms_ + delay_ms(from, to), event_kind::call_at_target, number);
    if (way_.hedges_ && here.twin_ < 0)
    {
        plan_hedge(number);
    }
}

void service_play::drain_central()
{
    auto& queue = dispatchers_[0].queue_;
    const auto last_start = milliseconds(now_ms_) + dispatchers_[0].p95_.value_;
    for (const int expired : queue.take_expired(last_start))
    {
        refuse(expired);
    }
    while (!queue.empty())
    {
        const int target = find_open_target();
        if (target < 0)
        {
            return;
        }
        const int number = dispatchers_[0].start_next(now_ms_);
        call(number).target_ = target;
        call(number).sent_ms_ = now_ms_;
        targets_[static_cast<std::size_t>(target)].enqueue(number);
        start_calls(target);
    }
}

int service_play::find_open_target() const
{
    int best = -1;
    int best_load = 0;
    for (std::size_t t = 0; t < targets_.size(); ++t)
    {
        const bool slow = settings_.fault_ != fault_kind::none &&
                          settings_.fault_ != fault_kind::step &&
                          settings_.fault_ != fault_kind::home_loss &&
                          static_cast<int>(t) == target_with_fault;
        const int load = targets_[t].report().busy_slots_;
        const bool better = best < 0 || load < best_load;
        if (targets_[t].is_open(now_ms_) && better && !slow)
        {
            best = static_cast<int>(t);
            best_load = load;
        }
    }
    return best;
}

void service_play::on_call_at_target(int number)
{
    auto& here = call(number);
    if (here.is_cancelled_)
    {
        return;
    }
    const bool fault_here = here.target_ == target_with_fault;
    if (fault_here && settings_.fault_ == fault_kind::fast_fail)
    {
        here.fate_ = call_fate::failed;
    }
    if (fault_here && settings_.fault_ == fault_kind::shedding)
    {
        here.fate_ = call_fate::refused;
    }
    auto& target = targets_[static_cast<std::size_t>(here.target_)];
    if (here.fate_ != call_fate::good)
    {
        here.report_ = target.report();
        return send_answer(number, fast_failure_ms);
    }
    if (!target.is_open(now_ms_))
    {
        ++result_.waited_at_target_;
    }
    target.enqueue(number);
    start_calls(here.target_);
}

double service_play::slowness(int target) const
{
    if (target != target_with_fault)
    {
        return 1.0;
    }
    if (settings_.fault_ == fault_kind::straggler)
    {
        return straggler_slowness;
    }
    if (settings_.fault_ == fault_kind::cold_start)
    {
        const double left = 1.0 - now_ms_ / cold_length_ms;
        return 1.0 + std::max(0.0, left) * (cold_slowness - 1.0);
    }
    return 1.0;
}

void service_play::start_calls(int target_number)
{
    auto& target = targets_[static_cast<std::size_t>(target_number)];
    while (const auto number = target.start_next(now_ms_))
    {
        auto& here = call(*number);
        here.end_ms_ = now_ms_ + here.service_ms_ * slowness(target_number);
        add_event(here.end_ms_, event_kind::call_ends, *number);
    }
}

void service_play::on_call_ends(int number)
{
    auto& here = call(number);
    if (here.is_cancelled_)
    {
        return;
    }
    if (now_ms_ < here.end_ms_)
    {
        // A stall moved the end.
        return add_event(here.end_ms_, event_kind::call_ends, number);
    }
    auto& target = targets_[static_cast<std::size_t>(here.target_)];
    target.finish(number);
    start_calls(here.target_);
    here.report_ = target.report();
    send_answer(number, 0.0);
    if (way_.place_ == dispatch_place::central)
    {
        drain_central();
    }
}

void service_play::send_answer(int number, double after_ms)
{
    const auto& here = call(number);
    const bool central = way_.place_ == dispatch_place::central;
    const int to = domain_of_vm(central ? here.vm_ : here.dispatcher_);
    double delay = delay_ms(domain_of_target(here.target_), to);
    // The bound has its way to the target in front of the answer's.
    delay *= central ? 2.0 : 1.0;
    add_event(now_ms_ + after_ms + delay, event_kind::answer_back, number);
}

void service_play::on_answer_back(int number)
{
    auto& here = call(number);
    if (here.is_cancelled_)
    {
        return;
    }
    here.is_answered_ = true;
    if (here.dispatcher_ == dead_vm_ && !here.is_probe_)
    {
        result_.failed_ += counts(here) ? 1 : 0;
        return;
    }
    if (way_.place_ == dispatch_place::central)
    {
        auto& p95 = dispatchers_[0].p95_;
        p95 = after_sample(p95, milliseconds(now_ms_ - here.sent_ms_));
    }
    else
    {
        learn(here);
    }
    if (here.is_probe_)
    {
        return;
    }
    if (here.fate_ == call_fate::refused)
    {
        // Not run: back into the queue for another target.
        here.fate_ = call_fate::good;
        here.is_answered_ = false;
        const milliseconds deadline(here.arrival_ms_ + settings_.deadline_ms_);
        dispatcher_of(here).queue_.push(number, here.class_, deadline);
    }
    else
    {
        count_answer(here);
        if (here.twin_ >= 0)
        {
            cancel_twin(here);
        }
    }
    drain(here.dispatcher_);
}

void service_play::learn(const live_call& here)
{
    const milliseconds now(now_ms_);
    const double age = delay_ms(domain_of_target(here.target_),
                                domain_of_vm(here.dispatcher_));
    auto& record = record_of(here);
    if (here.is_probe_)
    {
        record = after_probe(record, here.report_, milliseconds(age), now);
        return;
    }
    attempt_result attempt;
    attempt.latency_ = milliseconds(now_ms_ - here.sent_ms_);
    attempt.failed_ = here.fate_ != call_fate::good && way_.ejects_outliers_;
    record = after_attempt(record, attempt, now);
    record = after_report(record, here.report_, milliseconds(age), now);
    if (here.fate_ == call_fate::good)
    {
        auto& p95 = dispatcher_of(here).p95_;
        p95 = after_sample(p95, attempt.latency_);
    }
}

void service_play::count_answer(const live_call& here)
{
    if (!counts(here))
    {
        return;
    }
    if (here.fate_ == call_fate::failed)
    {
        ++result_.failed_;
        return;
    }
    const double back = way_.place_ == dispatch_place::central
                            ? 0.0
                            : hop_ms(here.vm_, here.dispatcher_);
    const double latency = now_ms_ + back - here.arrival_ms_;
    if (latency > settings_.deadline_ms_)
    {
        ++result_.late_;
        return;
    }
    result_.latencies_ms_.push_back(latency);
    result_.excess_ms_.push_back(latency - here.service_ms_);
    ++result_.answered_[static_cast<std::size_t>(here.class_)];
}

} // namespace policy_bench
