// What happens beside the calls: pauses, probes, sharing, hedges, faults.
#include "service_play.hpp"

#include <av_routing/load_estimate.hpp>

#include <cmath>

namespace policy_bench
{

namespace
{

constexpr double wake_up_every_ms = 2.0;
constexpr double straggler_check_every_ms = 100.0;
constexpr double home_loss_noticed_after_ms = 1000.0;

} // namespace

void service_play::plan_events()
{
    add_event(work_.calls_.front().arrival_ms_, event_kind::call_arrives);
    for (std::size_t i = 0; i < work_.stalls_.size(); ++i)
    {
        add_event(work_.stalls_[i].start_ms_,
                  event_kind::stall_starts,
                  static_cast<int>(i));
    }
    add_event(wake_up_every_ms, event_kind::wake_up);
    add_event(straggler_check_every_ms, event_kind::check_stragglers);
    if (way_.homes_share_every_ms_ > 0.0)
    {
        add_event(way_.homes_share_every_ms_, event_kind::homes_share_due);
    }
    plan_events_of_vms();
    if (settings_.fault_ == fault_kind::home_loss)
    {
        add_event(settings_.seconds_ * ms_per_second / 2,
                  event_kind::home_dies);
    }
}

void service_play::plan_events_of_vms()
{
    const int vms = settings_.deployment_.vms_;
    for (int vm = 0; vm < vms; ++vm)
    {
        // Spread evenly over the period.
        const double phase = (vm + 0.5) / vms;
        if (way_.share_every_ms_ > 0.0)
        {
            add_event(way_.share_every_ms_ * phase, event_kind::share_due, vm);
        }
        if (way_.probes_per_second_ > 0.0)
        {
            add_event(probe_gap_ms() * phase, event_kind::probe_due, vm);
        }
    }
}

double service_play::probe_gap_ms() const
{
    return ms_per_second / way_.probes_per_second_ / work_.service_.targets_;
}

bool service_play::is_over() const
{
    return now_ms_ > settings_.seconds_ * ms_per_second;
}

hedge_input service_play::question_for(const live_call& here)
{
    hedge_input question;
    question.idempotent_ = true;
    question.p95_latency_ = dispatcher_of(here).p95_.value_;
    question.time_left_ =
        milliseconds(here.arrival_ms_ + settings_.deadline_ms_ - now_ms_);
    question.waiting_calls_ =
        static_cast<int>(dispatcher_of(here).queue_.size());
    return question;
}

void service_play::plan_hedge(int number)
{
    constexpr double retry_ratio = 0.1;
    const auto& here = call(number);
    auto& budget = dispatcher_of(here).retry_budget_;
    budget = after_first_attempt(budget, retry_ratio, 0);
    if (const auto delay = hedge_delay(question_for(here)))
    {
        add_event(now_ms_ + delay->count(), event_kind::hedge_due, number);
    }
}

void service_play::on_hedge_due(int number)
{
    const auto first = call(number);
    auto& chooser = dispatcher_of(first);
    const bool wanted =
        !first.is_answered_ && first.dispatcher_ != dead_vm_ &&
        may_hedge_now(question_for(first), chooser.retry_budget_);
    const auto target =
        wanted ? chooser.choose(now_ms_, first.target_) : std::nullopt;
    if (!target)
    {
        return;
    }
    chooser.retry_budget_ = after_extra_attempt(chooser.retry_budget_);
    const int second = new_call();
    call(second) = first;
    call(second).twin_ = number;
    call(number).twin_ = second;
    ++result_.hedges_;
    send(second, static_cast<int>(*target));
}

void service_play::cancel_twin(const live_call& here)
{
    auto& twin = call(here.twin_);
    twin.is_cancelled_ = true;
    --record_of(twin).in_flight_;
    targets_[static_cast<std::size_t>(twin.target_)].cancel(here.twin_);
    start_calls(twin.target_);
}

void service_play::on_stall_starts(int stall_number)
{
    const auto& stall = work_.stalls_[static_cast<std::size_t>(stall_number)];
    auto& target = targets_[static_cast<std::size_t>(stall.target_)];
    target.stall(now_ms_ + stall.length_ms_);
    for (const int number : target.running())
    {
        call(number).end_ms_ += stall.length_ms_;
    }
    add_event(
        now_ms_ + stall.length_ms_, event_kind::stall_ends, stall.target_);
}

void service_play::on_probe_due(int vm)
{
    const int number = new_call();
    auto& probe = call(number);
    probe.is_probe_ = true;
    probe.vm_ = vm;
    probe.dispatcher_ = vm;
    probe.target_ = next_probe_target_++ % work_.service_.targets_;
    probe.sent_ms_ = now_ms_;
    probe.arrival_ms_ = now_ms_;
    probe.service_ms_ = settings_.deployment_.probe_cost_ms_;
    ++result_.probes_;
    add_event(now_ms_ +
                  delay_ms(domain_of_vm(vm), domain_of_target(probe.target_)),
              event_kind::call_at_target,
              number);
    repeat(probe_gap_ms(), event_kind::probe_due, vm);
}

void service_play::on_share_due(int vm)
{
    const auto from = static_cast<std::size_t>(vm);
    const auto domains = static_cast<std::size_t>(domains_);
    for (std::size_t to = from % domains; to < dispatchers_.size();
         to += domains)
    {
        if (to != from)
        {
            share(from, to);
        }
    }
    last_share_ms_[from] = now_ms_;
    repeat(way_.share_every_ms_, event_kind::share_due, vm);
}

void service_play::share(std::size_t from, std::size_t to)
{
    ++result_.share_messages_;
    for (std::size_t t = 0; t < targets_.size(); ++t)
    {
        const auto& source = dispatchers_[from].records_[t];
        const double written_ms = source.reported_at_.count();
        if (source.reported_load_ < 0 || written_ms <= last_share_ms_[from])
        {
            continue;
        }
        load_report report;
        report.busy_slots_ = source.reported_load_;
        report.slots_ = work_.service_.slots_;
        auto& record = dispatchers_[to].records_[t];
        record = after_report(record,
                              report,
                              milliseconds(now_ms_ - written_ms),
                              milliseconds(now_ms_));
    }
}

void service_play::on_homes_share_due()
{
    for (const int from : homes_)
    {
        for (const int to : homes_)
        {
            if (from != to)
            {
                ++result_.share_messages_;
                share_own_targets(from, to);
            }
        }
    }
    repeat(way_.homes_share_every_ms_, event_kind::homes_share_due);
}

void service_play::share_own_targets(int from, int to)
{
    const milliseconds now(now_ms_);
    const double age = settings_.deployment_.other_domain_delay_ms_;
    for (std::size_t t = 0; t < targets_.size(); ++t)
    {
        if (domain_of_target(static_cast<int>(t)) != domain_of_vm(from))
        {
            continue;
        }
        const auto& source =
            dispatchers_[static_cast<std::size_t>(from)].records_[t];
        load_report report;
        report.slots_ = work_.service_.slots_;
        const auto view = view_of(source, target_properties{}, now);
        report.busy_slots_ =
            static_cast<int>(std::lround(estimated_load(view, typical_load{})));
        auto& record = dispatchers_[static_cast<std::size_t>(to)].records_[t];
        record = after_report(record, report, milliseconds(age), now);
    }
}

void service_play::on_wake_up()
{
    bool waiting = false;
    for (std::size_t vm = 0; vm < dispatchers_.size(); ++vm)
    {
        waiting = waiting || !dispatchers_[vm].queue_.empty();
        drain(static_cast<int>(vm));
    }
    if (!is_over() || waiting)
    {
        repeat(wake_up_every_ms, event_kind::wake_up);
    }
}

void service_play::on_check_stragglers()
{
    if (way_.ejects_outliers_)
    {
        for (auto& each : dispatchers_)
        {
            eject_stragglers(each.records_, milliseconds(now_ms_));
        }
    }
    repeat(straggler_check_every_ms, event_kind::check_stragglers);
}

void service_play::on_home_dies()
{
    if (way_.place_ == dispatch_place::central)
    {
        return;
    }
    dead_vm_ = homes_.front();
    auto& queue = dispatchers_[static_cast<std::size_t>(dead_vm_)].queue_;
    while (const auto number = queue.pop())
    {
        result_.failed_ += counts(call(*number)) ? 1 : 0;
    }
    add_event(now_ms_ + home_loss_noticed_after_ms, event_kind::home_replaced);
}

} // namespace policy_bench
