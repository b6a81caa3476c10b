// Events other than those of a call: stalls, probes, sharing of load reports,
// hedges and faults.
#include "service_simulation.hpp"

#include <av_routing/load_estimate.hpp>

#include <cmath>

namespace policy_bench
{

namespace
{

constexpr double queue_recheck_interval_ms = 2.0;
constexpr double straggler_check_interval_ms = 100.0;
constexpr double dispatcher_loss_detection_ms = 1000.0;

} // namespace

void service_simulation::schedule_events()
{
    add_event(workload_.calls_.front().arrival_ms_, event_kind::call_arrives);
    for (std::size_t i = 0; i < workload_.stalls_.size(); ++i)
    {
        add_event(workload_.stalls_[i].start_ms_,
                  event_kind::stall_starts,
                  static_cast<int>(i));
    }
    add_event(queue_recheck_interval_ms, event_kind::recheck_queues);
    add_event(straggler_check_interval_ms, event_kind::check_stragglers);
    if (scheme_.dispatcher_share_interval_ms_ > 0.0)
    {
        add_event(scheme_.dispatcher_share_interval_ms_,
                  event_kind::dispatcher_share_due);
    }
    schedule_vm_events();
    if (settings_.fault_ == fault_kind::home_loss)
    {
        add_event(settings_.seconds_ * ms_per_second / 2,
                  event_kind::dispatcher_vm_fails);
    }
}

void service_simulation::schedule_vm_events()
{
    const int vms = settings_.deployment_.vms_;
    for (int vm = 0; vm < vms; ++vm)
    {
        // Staggers the VMs evenly over the interval.
        const double phase = (vm + 0.5) / vms;
        if (scheme_.share_interval_ms_ > 0.0)
        {
            add_event(
                scheme_.share_interval_ms_ * phase, event_kind::share_due, vm);
        }
        if (scheme_.probes_per_second_ > 0.0)
        {
            add_event(probe_interval_ms() * phase, event_kind::probe_due, vm);
        }
    }
}

double service_simulation::probe_interval_ms() const
{
    return ms_per_second / scheme_.probes_per_second_ /
           workload_.service_.targets_;
}

bool service_simulation::is_past_end() const
{
    return now_ms_ > settings_.seconds_ * ms_per_second;
}

std::optional<milliseconds>
service_simulation::hedge_delay(const call_attempt& current_attempt)
{
    const auto p95 = dispatcher_of(current_attempt).p95_.value_;
    const milliseconds time_left(current_attempt.arrival_ms_ +
                                 settings_.deadline_ms_ - now_ms_);
    const bool leaves_time = p95.count() > 0.0 && time_left > p95 * 2.0;
    return leaves_time ? std::optional(p95) : std::nullopt;
}

void service_simulation::schedule_hedge(int call_number)
{
    constexpr double retry_ratio = 0.1;
    const auto& current_attempt = call(call_number);
    auto& budget = dispatcher_of(current_attempt).retry_budget_;
    budget = after_first_attempt(budget, retry_ratio, 0);
    if (const auto delay = hedge_delay(current_attempt))
    {
        add_event(now_ms_ + delay->count(), event_kind::hedge_due, call_number);
    }
}

void service_simulation::on_hedge_due(int call_number)
{
    const auto first = call(call_number);
    auto& current_dispatcher = dispatcher_of(first);
    const bool may_hedge =
        !first.is_answered_ && first.dispatcher_ != failed_vm_ &&
        current_dispatcher.queue_.empty() &&
        allows_extra_attempt(current_dispatcher.retry_budget_);
    const auto target = may_hedge
                            ? current_dispatcher.choose(now_ms_, first.target_)
                            : std::nullopt;
    if (!target)
    {
        return;
    }
    current_dispatcher.retry_budget_ =
        after_extra_attempt(current_dispatcher.retry_budget_);
    const int second = new_call();
    call(second) = first;
    call(second).other_attempt_ = call_number;
    call(call_number).other_attempt_ = second;
    ++result_.hedges_;
    send(second, static_cast<int>(*target));
}

void service_simulation::cancel_other_attempt(
    const call_attempt& current_attempt)
{
    auto& losing_attempt = call(current_attempt.other_attempt_);
    losing_attempt.is_cancelled_ = true;
    --record_of(losing_attempt).in_flight_;
    targets_[static_cast<std::size_t>(losing_attempt.target_)].cancel(
        current_attempt.other_attempt_);
    start_calls(losing_attempt.target_);
}

void service_simulation::on_stall_starts(int stall_number)
{
    const auto& stall =
        workload_.stalls_[static_cast<std::size_t>(stall_number)];
    auto& target = targets_[static_cast<std::size_t>(stall.target_)];
    target.stall(now_ms_ + stall.length_ms_);
    for (const int call_number : target.running())
    {
        call(call_number).end_ms_ += stall.length_ms_;
    }
    add_event(
        now_ms_ + stall.length_ms_, event_kind::stall_ends, stall.target_);
}

void service_simulation::on_probe_due(int vm)
{
    const int call_number = new_call();
    auto& probe = call(call_number);
    probe.is_probe_ = true;
    probe.vm_ = vm;
    probe.dispatcher_ = vm;
    probe.target_ = next_probe_target_++ % workload_.service_.targets_;
    probe.sent_ms_ = now_ms_;
    probe.arrival_ms_ = now_ms_;
    probe.service_ms_ = settings_.deployment_.probe_cost_ms_;
    ++result_.probes_;
    add_event(now_ms_ +
                  delay_ms(domain_of_vm(vm), domain_of_target(probe.target_)),
              event_kind::call_at_target,
              call_number);
    schedule_again(probe_interval_ms(), event_kind::probe_due, vm);
}

void service_simulation::on_share_due(int vm)
{
    const auto from = static_cast<std::size_t>(vm);
    const auto domains = static_cast<std::size_t>(domains_);
    for (std::size_t to = from % domains; to < dispatchers_.size();
         to += domains)
    {
        if (to != from)
        {
            share_reports(from, to);
        }
    }
    last_share_ms_[from] = now_ms_;
    schedule_again(scheme_.share_interval_ms_, event_kind::share_due, vm);
}

void service_simulation::share_reports(std::size_t from, std::size_t to)
{
    ++result_.share_messages_;
    for (std::size_t t = 0; t < targets_.size(); ++t)
    {
        const auto& source = dispatchers_[from].records_[t];
        const double reported_ms = source.reported_at_.count();
        if (source.reported_load_ < 0 || reported_ms <= last_share_ms_[from])
        {
            continue;
        }
        load_report report;
        report.busy_slots_ = source.reported_load_;
        report.slots_ = workload_.service_.slots_;
        auto& record = dispatchers_[to].records_[t];
        record = after_report(record,
                              report,
                              milliseconds(now_ms_ - reported_ms),
                              milliseconds(now_ms_));
    }
}

void service_simulation::on_dispatcher_share_due()
{
    for (const int from : dispatcher_vms_)
    {
        for (const int to : dispatcher_vms_)
        {
            if (from != to)
            {
                ++result_.share_messages_;
                share_local_targets(from, to);
            }
        }
    }
    schedule_again(scheme_.dispatcher_share_interval_ms_,
                   event_kind::dispatcher_share_due);
}

void service_simulation::share_local_targets(int from, int to)
{
    const milliseconds now(now_ms_);
    const double age_ms = settings_.deployment_.other_domain_delay_ms_;
    for (std::size_t t = 0; t < targets_.size(); ++t)
    {
        if (domain_of_target(static_cast<int>(t)) != domain_of_vm(from))
        {
            continue;
        }
        const auto& source =
            dispatchers_[static_cast<std::size_t>(from)].records_[t];
        load_report report;
        report.slots_ = workload_.service_.slots_;
        const auto view = view_of(source, target_properties{}, now);
        report.busy_slots_ =
            static_cast<int>(std::lround(estimated_load(view, typical_load{})));
        auto& record = dispatchers_[static_cast<std::size_t>(to)].records_[t];
        record = after_report(record, report, milliseconds(age_ms), now);
    }
}

void service_simulation::on_recheck_queues()
{
    bool waiting = false;
    for (std::size_t vm = 0; vm < dispatchers_.size(); ++vm)
    {
        waiting = waiting || !dispatchers_[vm].queue_.empty();
        dispatch_queue(static_cast<int>(vm));
    }
    if (!is_past_end() || waiting)
    {
        schedule_again(queue_recheck_interval_ms, event_kind::recheck_queues);
    }
}

void service_simulation::on_check_stragglers()
{
    if (scheme_.ejects_outliers_)
    {
        for (auto& each : dispatchers_)
        {
            eject_stragglers(each.records_, milliseconds(now_ms_));
        }
    }
    schedule_again(straggler_check_interval_ms, event_kind::check_stragglers);
}

void service_simulation::on_dispatcher_vm_fails()
{
    if (scheme_.location_ == dispatch_location::central)
    {
        return;
    }
    failed_vm_ = dispatcher_vms_.front();
    auto& queue = dispatchers_[static_cast<std::size_t>(failed_vm_)].queue_;
    while (const auto call_number = queue.pop())
    {
        result_.failed_ += is_counted(call(*call_number)) ? 1 : 0;
    }
    add_event(now_ms_ + dispatcher_loss_detection_ms,
              event_kind::dispatcher_vm_replaced);
}

} // namespace policy_bench
