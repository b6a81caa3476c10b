#include <av_daemon/metrics_page.hpp>

#include <av_core/error.hpp>
#include <av_core/log_event.hpp>

#include <string>
#include <utility>

namespace anvilturn
{
namespace
{

using label_list = std::vector<std::pair<std::string, std::string>>;

constexpr double milliseconds_per_second = 1000.0;

// Collects samples and prefixes their names with "anvilturn_".
class sample_list
{
public:
    template <typename Value>
    void
    counter(const char* name, const char* help, label_list labels, Value value)
    {
        add(metric_type::counter, name, help, std::move(labels), value);
    }

    template <typename Value>
    void
    gauge(const char* name, const char* help, label_list labels, Value value)
    {
        add(metric_type::gauge, name, help, std::move(labels), value);
    }

    void histogram(const char* name,
                   const char* help,
                   const label_list& labels,
                   const latency_histogram& values)
    {
        append_histogram(
            samples_, std::string("anvilturn_") + name, help, labels, values);
    }

    std::vector<metric_sample> take()
    {
        return std::move(samples_);
    }

private:
    template <typename Value>
    void add(metric_type type,
             const char* name,
             const char* help,
             label_list labels,
             Value value)
    {
        samples_.push_back({type,
                            std::string("anvilturn_") + name,
                            help,
                            std::move(labels),
                            static_cast<double>(value)});
    }

    std::vector<metric_sample> samples_;
};

void collect_calls(sample_list& list, const daemon_state& state)
{
    const auto& requests = state.requests_;
    constexpr auto name = "calls_total";
    constexpr auto help = "Calls by outcome.";
    list.counter(name, help, {{"outcome", "answered"}}, requests.answered_);
    list.counter(name, help, {{"outcome", "not-run"}}, requests.not_run_);
    list.counter(name, help, {{"outcome", "unknown"}}, requests.unknown_);
    for (const auto& [kind, count] : requests.reasons_)
    {
        list.counter("calls_by_reason_total",
                     "Calls that were not answered, by reason.",
                     {{"reason", std::string(describe(kind).name_)}},
                     count);
    }
    list.counter("calls_forwarded_total",
                 "Calls handed to their home VM.",
                 {},
                 requests.forwarded_);
    list.counter("extra_attempts_total",
                 "Attempts after the first one of a call.",
                 {},
                 requests.extra_attempts_);
    list.counter("hedges_total",
                 "Calls that were sent to a second target while they ran.",
                 {},
                 requests.hedges_sent_);
    list.counter("hedges_won_total",
                 "Hedges that responded before the first attempt.",
                 {},
                 requests.hedges_won_);
    list.counter("hedges_suppressed_total",
                 "Calls that were not hedged while a budget was spent.",
                 {},
                 requests.hedges_suppressed_);
    list.counter("probes_total",
                 "Probes that this VM sent to targets.",
                 {},
                 state.probes_sent_);
    list.gauge("calls_in_flight",
               "Calls that were begun and not ended.",
               {},
               requests.calls_in_flight_);
    list.gauge("caller_connections",
               "Open connections of callers and other VMs.",
               {},
               requests.caller_connections_);
}

void collect_accounts(sample_list& list,
                      const request_path_statistics& requests)
{
    for (const auto& account : requests.accounts_)
    {
        const auto add = [&](call_outcome outcome, std::uint64_t count)
        {
            list.counter("account_calls_total",
                         "Calls by account and outcome; without a name, those "
                         "of all other accounts.",
                         {{"account", account.account_},
                          {"outcome", std::string(name_of(outcome))}},
                         count);
        };
        add(call_outcome::answered, account.answered_);
        add(call_outcome::not_run, account.not_run_);
        add(call_outcome::unknown, account.unknown_);
    }
}

void collect_latency(sample_list& list, const latency_summary& latency)
{
    constexpr auto name = "call_latency_milliseconds";
    constexpr auto help = "Latency of answered calls in the last window.";
    const auto quantile = [&](const char* quantile_label, milliseconds value)
    {
        list.gauge(name, help, {{"quantile", quantile_label}}, value.count());
    };
    quantile("0.5", latency.median_);
    quantile("0.9", latency.percentile_90_);
    quantile("0.99", latency.percentile_99_);
    quantile("1", latency.maximum_);
}

void collect_durations(sample_list& list, const daemon_state& state)
{
    for (const auto& [outcome, histogram] : state.durations_)
    {
        list.histogram("call_duration_milliseconds",
                       "Time from a call's header to its end at this VM.",
                       {{"outcome", std::string(name_of(outcome))}},
                       histogram);
    }
}

void collect_targets(sample_list& list, const request_path_statistics& requests)
{
    for (const auto& service : requests.services_)
    {
        list.gauge("calls_waiting",
                   "Calls that wait at this VM for a slot.",
                   {{"service", service.service_}},
                   service.waiting_);
    }
    for (const auto& target : requests.targets_)
    {
        list.gauge("target_in_flight",
                   "Calls of this VM at the target.",
                   {{"target", target.target_}},
                   target.local_in_flight_);
    }
    for (const auto& target : requests.targets_)
    {
        list.counter("target_sent_total",
                     "Calls that this VM sent to the target.",
                     {{"target", target.target_}},
                     target.sent_);
    }
    for (const auto& target : requests.targets_)
    {
        list.gauge("target_excluded",
                   "1 if the target gets no new work from this VM.",
                   {{"target", target.target_}},
                   target.draining_ || target.ejected_ ? 1 : 0);
    }
}

void collect_control(sample_list& list, const control_state& control)
{
    list.gauge("release_version",
               "Version of the release in force.",
               {},
               control.current_release_);
    int alive = 1;
    for (const auto& member : control.members_)
    {
        alive += member.condition_ == member_condition::alive ? 1 : 0;
    }
    list.gauge("members", "VMs taken for alive, this one included.", {}, alive);
    const auto& traffic = control.traffic_;
    constexpr auto bytes = "peer_bytes_total";
    constexpr auto bytes_help = "Bytes of control messages between VMs.";
    list.counter(
        bytes, bytes_help, {{"direction", "sent"}}, traffic.bytes_sent_);
    list.counter(bytes,
                 bytes_help,
                 {{"direction", "received"}},
                 traffic.bytes_received_);
    const auto& platform = control.platform_calls_;
    constexpr auto calls = "platform_calls_total";
    constexpr auto calls_help = "Calls to the platform by kind.";
    list.counter(calls, calls_help, {{"kind", "get"}}, platform.gets_);
    list.counter(calls, calls_help, {{"kind", "put"}}, platform.puts_);
    list.counter(calls, calls_help, {{"kind", "watch"}}, platform.watches_);
    list.counter(calls, calls_help, {{"kind", "vms"}}, platform.vm_lists_);
    list.counter("platform_failures_total",
                 "Calls to the platform that failed.",
                 {},
                 platform.failures_);
}

void collect_registry(sample_list& list, const daemon_state& state)
{
    if (!state.registry_)
    {
        return;
    }
    const auto& registry = *state.registry_;
    const auto age = [&state](milliseconds point)
    {
        return (state.control_.now_ - point).count();
    };
    list.gauge("store_answered_ago_milliseconds",
               "Time since the store last answered this VM or its watcher.",
               {},
               age(registry.answered_at_));
    list.gauge("contents_age_milliseconds",
               "Time since the release and the targets were last known to be "
               "complete.",
               {},
               age(registry.current_at_));
    list.gauge("release_age_milliseconds",
               "Time since the release in force was taken up.",
               {},
               age(registry.release_at_));
    list.gauge("targets_registered",
               "Targets that are registered, draining ones included.",
               {},
               registry.targets_);
    if (registry.evacuated_domains_)
    {
        list.gauge("failure_domains_evacuated",
                   "Failure domains whose targets get no new work, by entries "
                   "of the store.",
                   {},
                   registry.evacuated_domains_->size());
    }
    list.gauge("watcher_in_use",
               "1 if a watcher tells this VM what the store holds.",
               {},
               registry.watcher_.empty() ? 0 : 1);
    list.gauge("watcher_subscribers",
               "VMs that this one tells what the store holds.",
               {},
               registry.subscribers_);
    list.counter("watcher_losses_total",
                 "Watchers that this VM gave up on.",
                 {},
                 registry.watcher_losses_);
    constexpr auto calls = "store_calls_total";
    constexpr auto calls_help = "Calls to the platform's store by kind.";
    list.counter(calls, calls_help, {{"kind", "list"}}, registry.calls_.lists_);
    list.counter(
        calls, calls_help, {{"kind", "watch"}}, registry.calls_.watches_);
    list.counter(
        calls, calls_help, {{"kind", "check"}}, registry.calls_.checks_);
    list.counter("store_failures_total",
                 "Calls to the store that failed.",
                 {},
                 registry.calls_.failures_);
}

void collect_grants(sample_list& list, const grant_server_statistics& server)
{
    list.counter("grant_queries_total",
                 "Messages of VMs that asked this grantor for permits.",
                 {},
                 server.queries_);
    list.counter("grant_permits_total",
                 "Permits that this grantor gave.",
                 {},
                 server.permits_);
    constexpr auto name = "grant_refusals_total";
    constexpr auto help = "Requests for permits that this grantor refused.";
    list.counter(name, help, {{"reason", "limit"}}, server.refused_);
    list.counter(name, help, {{"reason", "unknown"}}, server.unknown_);
    list.gauge("grant_connections",
               "Connections of VMs to this grantor.",
               {},
               server.connections_);
    list.gauge("grant_keys",
               "Limits of which this grantor's share is in use.",
               {},
               server.keys_);
}

void collect_fleet_limits(sample_list& list, const daemon_state& state)
{
    if (!state.fleet_limits_)
    {
        return;
    }
    const auto& limits = *state.fleet_limits_;
    constexpr auto name = "permits_total";
    constexpr auto help = "Permits for calls of this VM, by result.";
    list.counter(name, help, {{"result", "granted"}}, limits.granted_);
    list.counter(name, help, {{"result", "over_limit"}}, limits.over_limit_);
    list.counter(name, help, {{"result", "unavailable"}}, limits.unavailable_);
    list.counter("permit_queries_total",
                 "Messages by which this VM asked for permits.",
                 {},
                 limits.queries_);
    list.counter("permit_queries_failed_total",
                 "Messages that a grantor did not respond to in time.",
                 {},
                 limits.failed_queries_);
    list.gauge("grantors_unreachable",
               "Grantors that can't be reached, for each request thread.",
               {},
               limits.unreachable_grantors_);
    list.gauge("permit_keys",
               "Limits that this VM has state for, for each request thread.",
               {},
               limits.keys_);
    if (limits.server_)
    {
        collect_grants(list, *limits.server_);
    }
}

void collect_process(sample_list& list, const daemon_state& state)
{
    constexpr auto name = "cpu_seconds_total";
    constexpr auto help = "Processor time by plane.";
    const auto control =
        state.control_.cpu_time_ + state.control_.traffic_.cpu_time_;
    list.counter(name,
                 help,
                 {{"plane", "all"}},
                 state.cpu_time_.count() / milliseconds_per_second);
    list.counter(name,
                 help,
                 {{"plane", "control"}},
                 control.count() / milliseconds_per_second);
    list.gauge("resident_bytes",
               "Resident memory of the process.",
               {},
               state.resident_bytes_);
    list.counter("log_lines_left_out_total",
                 "Log lines that were left out to bound their volume.",
                 {},
                 dropped_log_lines());
    list.gauge("ready",
               "1 if the balancer may send callers here.",
               {},
               state.ready_ ? 1 : 0);
}

} // namespace

std::vector<metric_sample> collect_metrics(const daemon_state& state)
{
    sample_list list;
    collect_calls(list, state);
    collect_accounts(list, state.requests_);
    collect_latency(list, state.latency_);
    collect_durations(list, state);
    collect_targets(list, state.requests_);
    collect_control(list, state.control_);
    collect_registry(list, state);
    collect_fleet_limits(list, state);
    collect_process(list, state);
    return list.take();
}

} // namespace anvilturn
