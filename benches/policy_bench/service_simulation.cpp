// Events in the life of a call outside of its target: arrival, dispatch,
// response.
#include "service_simulation.hpp"

#include <av_routing/dispatcher_vm.hpp>

#include <string>

namespace policy_bench
{

namespace
{

// Calls that arrive before this time are not counted: the simulation starts
// with all queues and targets empty.
constexpr double initial_transient_ms = 1000.0;

} // namespace

run_result service_simulation::simulate()
{
    schedule_events();
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
    result_.targets_ = workload_.service_.targets_;
    result_.slots_ = workload_.service_.slots_;
    return std::move(result_);
}

int service_simulation::domain_of_target(int target) const
{
    return target % domains_;
}

int service_simulation::domain_of_vm(int vm) const
{
    return vm % domains_;
}

double service_simulation::delay_ms(int domain_a, int domain_b) const
{
    return domain_a == domain_b ? settings_.deployment_.same_domain_delay_ms_
                                : settings_.deployment_.other_domain_delay_ms_;
}

double service_simulation::hop_ms(int vm_a, int vm_b) const
{
    return vm_a == vm_b ? 0.0
                        : delay_ms(domain_of_vm(vm_a), domain_of_vm(vm_b));
}

std::vector<target_properties>
service_simulation::target_properties_for(int vm) const
{
    std::vector<target_properties> result;
    for (int t = 0; t < workload_.service_.targets_; ++t)
    {
        target_properties properties;
        properties.slots_ = workload_.service_.slots_;
        properties.local_limit_ = in_flight_limit_per_vm();
        properties.same_domain_ =
            scheme_.location_ == dispatch_location::region_dispatcher ||
            domain_of_target(t) == domain_of_vm(vm);
        properties.takes_new_work_ = in_subset(vm, t);
        result.push_back(properties);
    }
    return result;
}

int service_simulation::in_flight_limit_per_vm() const
{
    if (scheme_.location_ != dispatch_location::arrival)
    {
        return 2 * workload_.service_.slots_;
    }
    return scheme_.reserves_slots_ ? 1 : workload_.service_.slots_;
}

bool service_simulation::in_subset(int vm, int target) const
{
    if (scheme_.subset_size_ == 0)
    {
        return true;
    }
    const int count = workload_.service_.targets_;
    const int first = vm * scheme_.subset_size_ % count;
    return (target - first + count) % count < scheme_.subset_size_;
}

void service_simulation::assign_dispatcher_vms()
{
    fleet_view fleet;
    const bool whole_region =
        scheme_.location_ == dispatch_location::region_dispatcher;
    for (int vm = 0; vm < settings_.deployment_.vms_; ++vm)
    {
        vm_description member;
        member.name_ = std::to_string(vm);
        member.failure_domain_ =
            whole_region ? "region" : std::to_string(domain_of_vm(vm));
        if (vm != failed_vm_)
        {
            fleet.members_.push_back(member);
        }
    }
    dispatcher_vms_.clear();
    for (int domain = 0; domain < domains_; ++domain)
    {
        const auto name =
            whole_region ? std::string("region") : std::to_string(domain);
        const auto* assigned_vm =
            dispatcher_vm(workload_.service_.name_, name, fleet);
        dispatcher_vms_.push_back(std::stoi(assigned_vm->name_));
    }
}

int service_simulation::dispatcher_for(int vm) const
{
    if (scheme_.location_ == dispatch_location::arrival)
    {
        return vm;
    }
    if (scheme_.location_ == dispatch_location::central)
    {
        return 0;
    }
    return dispatcher_vms_[static_cast<std::size_t>(domain_of_vm(vm))];
}

void service_simulation::handle(const event& next)
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
    case event_kind::response_arrives:
        return on_response_arrives(next.subject_);
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
    case event_kind::dispatcher_share_due:
        return on_dispatcher_share_due();
    case event_kind::recheck_queues:
        return on_recheck_queues();
    case event_kind::check_stragglers:
        return on_check_stragglers();
    case event_kind::dispatcher_vm_fails:
        return on_dispatcher_vm_fails();
    case event_kind::dispatcher_vm_replaced:
        return assign_dispatcher_vms();
    }
}

int service_simulation::new_call()
{
    calls_.emplace_back();
    return static_cast<int>(calls_.size()) - 1;
}

call_attempt& service_simulation::call(int call_number)
{
    return calls_[static_cast<std::size_t>(call_number)];
}

dispatcher&
service_simulation::dispatcher_of(const call_attempt& current_attempt)
{
    return dispatchers_[static_cast<std::size_t>(current_attempt.dispatcher_)];
}

target_record&
service_simulation::record_of(const call_attempt& current_attempt)
{
    return dispatcher_of(current_attempt)
        .records_[static_cast<std::size_t>(current_attempt.target_)];
}

bool service_simulation::is_counted(const call_attempt& current_attempt) const
{
    return current_attempt.arrival_ms_ >= initial_transient_ms;
}

void service_simulation::on_call_arrives(int planned_index)
{
    const auto& planned =
        workload_.calls_[static_cast<std::size_t>(planned_index)];
    const int call_number = new_call();
    auto& current_attempt = call(call_number);
    current_attempt.vm_ = planned.vm_ == failed_vm_
                              ? (planned.vm_ + 1) % settings_.deployment_.vms_
                              : planned.vm_;
    current_attempt.arrival_ms_ = now_ms_;
    current_attempt.service_ms_ = planned.service_ms_;
    current_attempt.class_ = planned.class_;
    current_attempt.dispatcher_ = dispatcher_for(current_attempt.vm_);
    if (current_attempt.dispatcher_ == failed_vm_)
    {
        // The connection to the failed dispatcher VM is refused, so the arrival
        // VM chooses the target itself.
        current_attempt.dispatcher_ = current_attempt.vm_;
    }
    if (is_counted(current_attempt))
    {
        ++result_.arrived_[static_cast<std::size_t>(current_attempt.class_)];
    }
    const double hop_delay_ms =
        scheme_.location_ == dispatch_location::central
            ? 0.0
            : hop_ms(current_attempt.vm_, current_attempt.dispatcher_);
    add_event(
        now_ms_ + hop_delay_ms, event_kind::call_at_dispatcher, call_number);
    const auto next = static_cast<std::size_t>(planned_index) + 1;
    if (next < workload_.calls_.size())
    {
        add_event(workload_.calls_[next].arrival_ms_,
                  event_kind::call_arrives,
                  planned_index + 1);
    }
}

void service_simulation::on_call_at_dispatcher(int call_number)
{
    auto& current_attempt = call(call_number);
    auto& current_dispatcher = dispatcher_of(current_attempt);
    auto& queue = current_dispatcher.queue_;
    const auto call_class = current_attempt.class_;
    const auto latest_start = current_dispatcher.latest_start(
        current_attempt.arrival_ms_ + settings_.deadline_ms_);
    if (!queue.accepts(call_class) ||
        !current_dispatcher.has_place_for(call_class, latest_start, now_ms_))
    {
        return refuse(call_number);
    }
    current_dispatcher.enqueue(call_number, call_class, latest_start, now_ms_);
    while (queue.is_over_limit())
    {
        refuse(*queue.displace());
    }
    dispatch_queue(current_attempt.dispatcher_);
}

void service_simulation::refuse(int call_number)
{
    if (is_counted(call(call_number)))
    {
        ++result_.refused_;
    }
}

void service_simulation::refuse_late_calls(dispatcher& current_dispatcher)
{
    auto& queue = current_dispatcher.queue_;
    for (const int expired : queue.take_expired(milliseconds(now_ms_)))
    {
        refuse(expired);
    }
}

int service_simulation::start_next(dispatcher& current_dispatcher)
{
    const int call_number = *current_dispatcher.queue_.pop();
    current_dispatcher.record_start(call(call_number).class_, now_ms_);
    return call_number;
}

void service_simulation::dispatch_queue(int vm)
{
    if (scheme_.location_ == dispatch_location::central)
    {
        return dispatch_central_queue();
    }
    auto& current_dispatcher = dispatchers_[static_cast<std::size_t>(vm)];
    if (current_dispatcher.queue_.empty())
    {
        return;
    }
    refuse_late_calls(current_dispatcher);
    while (!current_dispatcher.queue_.empty())
    {
        const auto target = current_dispatcher.choose(now_ms_);
        if (!target)
        {
            return;
        }
        send(start_next(current_dispatcher), static_cast<int>(*target));
    }
}

void service_simulation::send(int call_number, int target)
{
    auto& current_attempt = call(call_number);
    current_attempt.target_ = target;
    current_attempt.sent_ms_ = now_ms_;
    auto& record = record_of(current_attempt);
    record = after_send(record);
    ++result_.sent_;
    const int from = domain_of_vm(current_attempt.dispatcher_);
    const int to = domain_of_target(target);
    result_.sent_to_other_domain_ += from == to ? 0 : 1;
    add_event(
        now_ms_ + delay_ms(from, to), event_kind::call_at_target, call_number);
    if (scheme_.hedges_ && current_attempt.other_attempt_ < 0)
    {
        schedule_hedge(call_number);
    }
}

void service_simulation::dispatch_central_queue()
{
    auto& queue = dispatchers_[0].queue_;
    refuse_late_calls(dispatchers_[0]);
    while (!queue.empty())
    {
        const int target = find_available_target();
        if (target < 0)
        {
            return;
        }
        const int call_number = start_next(dispatchers_[0]);
        call(call_number).target_ = target;
        call(call_number).sent_ms_ = now_ms_;
        targets_[static_cast<std::size_t>(target)].enqueue(call_number);
        start_calls(target);
    }
}

int service_simulation::find_available_target() const
{
    int best_target = -1;
    int best_load = 0;
    for (std::size_t t = 0; t < targets_.size(); ++t)
    {
        const bool is_faulty = settings_.fault_ != fault_kind::none &&
                               settings_.fault_ != fault_kind::step &&
                               settings_.fault_ != fault_kind::home_loss &&
                               static_cast<int>(t) == target_with_fault;
        const int load = targets_[t].report().busy_slots_;
        const bool better = best_target < 0 || load < best_load;
        if (targets_[t].can_start_at_once(now_ms_) && better && !is_faulty)
        {
            best_target = static_cast<int>(t);
            best_load = load;
        }
    }
    return best_target;
}

void service_simulation::on_response_arrives(int call_number)
{
    auto& current_attempt = call(call_number);
    if (current_attempt.is_cancelled_)
    {
        return;
    }
    current_attempt.is_answered_ = true;
    if (current_attempt.dispatcher_ == failed_vm_ && !current_attempt.is_probe_)
    {
        result_.failed_ += is_counted(current_attempt) ? 1 : 0;
        return;
    }
    if (scheme_.location_ == dispatch_location::central)
    {
        auto& p95 = dispatchers_[0].p95_;
        p95 =
            after_sample(p95, milliseconds(now_ms_ - current_attempt.sent_ms_));
    }
    else
    {
        update_target_record(current_attempt);
    }
    if (current_attempt.is_probe_)
    {
        return;
    }
    if (current_attempt.outcome_ == call_outcome::refused)
    {
        // The call did not run: queue it again for another target.
        current_attempt.outcome_ = call_outcome::succeeded;
        current_attempt.is_answered_ = false;
        const milliseconds deadline(current_attempt.arrival_ms_ +
                                    settings_.deadline_ms_);
        dispatcher_of(current_attempt)
            .queue_.push(call_number, current_attempt.class_, deadline);
    }
    else
    {
        count_response(current_attempt);
        if (current_attempt.other_attempt_ >= 0)
        {
            cancel_other_attempt(current_attempt);
        }
    }
    dispatch_queue(current_attempt.dispatcher_);
}

void service_simulation::update_target_record(
    const call_attempt& current_attempt)
{
    const milliseconds now(now_ms_);
    const double age_ms = delay_ms(domain_of_target(current_attempt.target_),
                                   domain_of_vm(current_attempt.dispatcher_));
    auto& record = record_of(current_attempt);
    if (current_attempt.is_probe_)
    {
        record = after_probe(
            record, current_attempt.report_, milliseconds(age_ms), now);
        return;
    }
    attempt_result attempt;
    attempt.latency_ = milliseconds(now_ms_ - current_attempt.sent_ms_);
    attempt.failed_ = current_attempt.outcome_ != call_outcome::succeeded &&
                      scheme_.ejects_outliers_;
    record = after_attempt(record, attempt, now);
    record = after_report(
        record, current_attempt.report_, milliseconds(age_ms), now);
    if (current_attempt.outcome_ == call_outcome::succeeded)
    {
        auto& p95 = dispatcher_of(current_attempt).p95_;
        p95 = after_sample(p95, attempt.latency_);
    }
}

void service_simulation::count_response(const call_attempt& current_attempt)
{
    if (!is_counted(current_attempt))
    {
        return;
    }
    if (current_attempt.outcome_ == call_outcome::failed)
    {
        ++result_.failed_;
        return;
    }
    const double return_delay_ms =
        scheme_.location_ == dispatch_location::central
            ? 0.0
            : hop_ms(current_attempt.vm_, current_attempt.dispatcher_);
    const double call_latency_ms =
        now_ms_ + return_delay_ms - current_attempt.arrival_ms_;
    if (call_latency_ms > settings_.deadline_ms_)
    {
        ++result_.late_;
        return;
    }
    result_.latencies_ms_.push_back(call_latency_ms);
    result_.excess_ms_.push_back(call_latency_ms - current_attempt.service_ms_);
    ++result_.answered_[static_cast<std::size_t>(current_attempt.class_)];
}

} // namespace policy_bench
