#include <av_daemon/state_dump.hpp>

#include <yaml-cpp/yaml.h>

#include <cmath>
#include <map>
#include <string_view>

namespace anvilturn
{
namespace
{

constexpr double microseconds_per_millisecond = 1000.0;

// Enough significant digits to print rounded numbers in full.
constexpr std::size_t dump_significant_digits = 12;

// Rounds to microseconds to keep dumps readable.
double rounded(milliseconds value)
{
    return std::round(value.count() * microseconds_per_millisecond) /
           microseconds_per_millisecond;
}

template <typename Value>
void put(YAML::Emitter& out, const char* key, const Value& value)
{
    out << YAML::Key << key << YAML::Value << value;
}

void put(YAML::Emitter& out, const char* key, milliseconds value)
{
    put(out, key, rounded(value));
}

void put(YAML::Emitter& out, const char* key, std::string_view value)
{
    put(out, key, std::string(value));
}

void begin_map(YAML::Emitter& out, const char* key)
{
    out << YAML::Key << key << YAML::Value << YAML::BeginMap;
}

void begin_list(YAML::Emitter& out, const char* key)
{
    out << YAML::Key << key << YAML::Value << YAML::BeginSeq;
}

std::string_view name_of(member_condition value)
{
    switch (value)
    {
    case member_condition::alive:
        return "alive";
    case member_condition::left:
        return "left";
    case member_condition::lost:
        break;
    }
    return "lost";
}

// Returns the time since a point; -1 ms if the event has not happened.
milliseconds age_of(milliseconds point, milliseconds now)
{
    return point == milliseconds() ? milliseconds(-1.0) : now - point;
}

void emit_process(YAML::Emitter& out, const daemon_state& state)
{
    begin_map(out, "process");
    put(out, "vm", state.control_.self_.name_);
    put(out, "failure_domain", state.control_.self_.failure_domain_);
    put(out, "incarnation", state.control_.self_.incarnation_);
    put(out, "phase", name_of(state.phase_));
    put(out, "ready", state.ready_);
    put(out, "uptime_ms", state.uptime_);
    put(out, "cpu_time_ms", state.cpu_time_);
    put(out, "control_cpu_time_ms", state.control_.cpu_time_);
    put(out, "peers_cpu_time_ms", state.control_.traffic_.cpu_time_);
    put(out, "resident_bytes", state.resident_bytes_);
    out << YAML::EndMap;
}

void emit_release(YAML::Emitter& out, const daemon_state& state)
{
    begin_map(out, "release");
    put(out, "version", state.control_.current_release_);
    put(out, "digest", state.control_.release_digest_);
    put(out, "newest_heard", state.control_.newest_known_);
    put(out, "fetching", state.control_.fetching_);
    if (state.release_)
    {
        put(out, "note", state.release_->note_id_);
        put(out, "services", state.release_->services_.size());
        put(out, "targets", state.release_->targets_.size());
        put(out, "rules", state.release_->rules_.size());
        put(out, "accounts", state.release_->accounts_.size());
    }
    out << YAML::EndMap;
}

void emit_members(YAML::Emitter& out, const daemon_state& state)
{
    begin_list(out, "vms");
    for (const auto& member : state.control_.members_)
    {
        out << YAML::BeginMap;
        put(out, "name", member.vm_.name_);
        put(out, "failure_domain", member.vm_.failure_domain_);
        put(out, "condition", name_of(member.condition_));
        put(out, "incarnation", member.newest_.incarnation_);
        put(out, "release", member.newest_.release_);
        put(out, "operator_address", member.vm_.operator_address_);
        put(out,
            "heard_ago_ms",
            age_of(member.last_contact_at_, state.control_.now_));
        put(out,
            "answered_ago_ms",
            age_of(member.answered_at_, state.control_.now_));
        put(out, "failed_calls", member.failed_calls_);
        out << YAML::EndMap;
    }
    out << YAML::EndSeq;
}

void emit_control(YAML::Emitter& out, const control_state& control)
{
    begin_map(out, "control");
    put(out,
        "last_contact_ago_ms",
        age_of(control.last_contact_, control.now_));
    put(out, "current_ago_ms", age_of(control.current_at_, control.now_));
    put(out, "watches_platform", control.watches_platform_);
    put(out,
        "platform_answered_ago_ms",
        age_of(control.platform_answered_at_, control.now_));
    put(out, "round_period_ms", control.round_period_);
    put(out, "rounds", control.rounds_);
    put(out, "pauses", control.pauses_);
    const auto& traffic = control.traffic_;
    put(out, "peer_bytes_sent", traffic.bytes_sent_);
    put(out, "peer_bytes_received", traffic.bytes_received_);
    put(out, "peer_calls_sent", traffic.calls_sent_);
    put(out, "peer_calls_failed", traffic.calls_failed_);
    put(out, "peer_calls_refused", traffic.calls_refused_);
    const auto& platform = control.platform_calls_;
    put(out, "platform_gets", platform.gets_);
    put(out, "platform_puts", platform.puts_);
    put(out, "platform_watches", platform.watches_);
    put(out, "platform_vm_lists", platform.vm_lists_);
    put(out, "platform_failures", platform.failures_);
    out << YAML::EndMap;
}

void emit_registry(YAML::Emitter& out, const daemon_state& state)
{
    if (!state.registry_)
    {
        return;
    }
    const auto& registry = *state.registry_;
    const auto now = state.control_.now_;
    begin_map(out, "registry");
    put(out, "watcher", registry.watcher_);
    put(out, "store_answered_ago_ms", age_of(registry.answered_at_, now));
    put(out, "contents_age_ms", age_of(registry.current_at_, now));
    put(out, "release_ago_ms", age_of(registry.release_at_, now));
    put(out, "targets_ago_ms", age_of(registry.targets_at_, now));
    put(out, "targets", registry.targets_);
    put(out, "subscribers", registry.subscribers_);
    put(out, "watcher_losses", registry.watcher_losses_);
    put(out, "store_lists", registry.calls_.lists_);
    put(out, "store_watches", registry.calls_.watches_);
    put(out, "store_checks", registry.calls_.checks_);
    put(out, "store_failures", registry.calls_.failures_);
    if (registry.evacuated_domains_)
    {
        begin_list(out, "evacuated_failure_domains");
        for (const auto& domain : *registry.evacuated_domains_)
        {
            out << domain;
        }
        out << YAML::EndSeq;
    }
    out << YAML::EndMap;
}

void emit_fleet_limits(YAML::Emitter& out, const daemon_state& state)
{
    if (!state.fleet_limits_)
    {
        return;
    }
    const auto& limits = *state.fleet_limits_;
    begin_map(out, "fleet_limits");
    put(out, "grantors", limits.grantors_);
    put(out, "granted", limits.granted_);
    put(out, "over_limit", limits.over_limit_);
    put(out, "unavailable", limits.unavailable_);
    put(out, "queries", limits.queries_);
    put(out, "failed_queries", limits.failed_queries_);
    put(out, "grantors_unreachable", limits.unreachable_grantors_);
    put(out, "keys", limits.keys_);
    if (limits.server_)
    {
        const auto& server = *limits.server_;
        begin_map(out, "as_grantor");
        put(out, "queries", server.queries_);
        put(out, "permits", server.permits_);
        put(out, "refused", server.refused_);
        put(out, "unknown", server.unknown_);
        put(out, "connections", server.connections_);
        put(out, "keys", server.keys_);
        out << YAML::EndMap;
    }
    out << YAML::EndMap;
}

void emit_calls(YAML::Emitter& out, const daemon_state& state)
{
    const auto& requests = state.requests_;
    begin_map(out, "calls");
    put(out, "answered", requests.answered_);
    put(out, "not_run", requests.not_run_);
    put(out, "unknown", requests.unknown_);
    put(out, "forwarded_to_home", requests.forwarded_);
    put(out, "extra_attempts", requests.extra_attempts_);
    put(out, "hedges_sent", requests.hedges_sent_);
    put(out, "hedges_won", requests.hedges_won_);
    put(out, "hedges_suppressed", requests.hedges_suppressed_);
    put(out, "probes_sent", state.probes_sent_);
    put(out, "in_flight", requests.calls_in_flight_);
    put(out, "caller_connections", requests.caller_connections_);
    begin_map(out, "reasons");
    for (const auto& [kind, count] : requests.reasons_)
    {
        put(out, std::string(describe(kind).name_).c_str(), count);
    }
    out << YAML::EndMap;
    begin_map(out, "latency_ms");
    put(out, "count", state.latency_.count_);
    put(out, "mean", state.latency_.mean_);
    put(out, "p50", state.latency_.median_);
    put(out, "p90", state.latency_.percentile_90_);
    put(out, "p99", state.latency_.percentile_99_);
    put(out, "max", state.latency_.maximum_);
    out << YAML::EndMap << YAML::EndMap;
}

void emit_services(YAML::Emitter& out, const daemon_state& state)
{
    begin_list(out, "services");
    for (const auto& service : state.requests_.services_)
    {
        out << YAML::BeginMap;
        put(out, "name", service.service_);
        put(out, "waiting", service.waiting_);
        put(out, "home_vm", service.dispatcher_vm_);
        out << YAML::EndMap;
    }
    out << YAML::EndSeq;
}

// Without their keys, which are secret.
void emit_accounts(YAML::Emitter& out, const daemon_state& state)
{
    if (state.requests_.accounts_.empty())
    {
        return;
    }
    begin_list(out, "accounts");
    for (const auto& account : state.requests_.accounts_)
    {
        out << YAML::BeginMap;
        put(out, "name", account.account_);
        put(out, "answered", account.answered_);
        put(out, "not_run", account.not_run_);
        put(out, "unknown", account.unknown_);
        out << YAML::EndMap;
    }
    out << YAML::EndSeq;
}

void emit_targets(YAML::Emitter& out, const daemon_state& state)
{
    begin_list(out, "targets");
    for (const auto& target : state.requests_.targets_)
    {
        out << YAML::BeginMap;
        put(out, "name", target.target_);
        put(out, "service", target.service_);
        put(out, "address", target.address_);
        put(out, "own_in_flight", target.local_in_flight_);
        put(out, "own_limit", target.local_limit_);
        put(out, "connections", target.connections_);
        put(out, "reported_load", target.reported_load_);
        put(out, "report_age_ms", target.report_age_);
        put(out, "probed_load", target.probed_load_);
        put(out, "latency_ms", target.latency_);
        put(out, "failure_streak", target.consecutive_failures_);
        put(out, "draining", target.draining_);
        put(out, "ejected", target.ejected_);
        put(out, "sent", target.sent_);
        out << YAML::EndMap;
    }
    out << YAML::EndSeq;
}

// Returns the YAML text of one map, filled by the function.
template <typename Fill>
std::string render(Fill fill)
{
    YAML::Emitter out;
    out.SetDoublePrecision(dump_significant_digits);
    out << YAML::BeginMap;
    fill(out);
    out << YAML::EndMap;
    return std::string(out.c_str()) + "\n";
}

// Number of VMs by release version in force, within one failure domain.
using domain_versions = std::map<release_version, int>;

std::map<std::string, domain_versions>
versions_by_domain(const daemon_state& state)
{
    std::map<std::string, domain_versions> domains;
    const auto& self = state.control_.self_;
    ++domains[self.failure_domain_][state.control_.current_release_];
    for (const auto& member : state.control_.members_)
    {
        if (member.condition_ == member_condition::alive)
        {
            ++domains[member.vm_.failure_domain_][member.newest_.release_];
        }
    }
    return domains;
}

} // namespace

std::string render_dump(const daemon_state& state)
{
    return render(
        [&state](YAML::Emitter& out)
        {
            emit_process(out, state);
            emit_release(out, state);
            emit_calls(out, state);
            emit_services(out, state);
            emit_accounts(out, state);
            emit_targets(out, state);
            emit_members(out, state);
            emit_control(out, state.control_);
            emit_registry(out, state);
            emit_fleet_limits(out, state);
        });
}

std::string render_vms(const daemon_state& state)
{
    return render(
        [&state](YAML::Emitter& out)
        {
            emit_members(out, state);
        });
}

std::string render_targets(const daemon_state& state)
{
    return render(
        [&state](YAML::Emitter& out)
        {
            emit_targets(out, state);
        });
}

std::string render_release_status(const daemon_state& state)
{
    return render(
        [&state](YAML::Emitter& out)
        {
            put(out, "vm", state.control_.self_.name_);
            put(out, "version", state.control_.current_release_);
            put(out, "digest", state.control_.release_digest_);
            begin_list(out, "failure_domains");
            for (const auto& [domain, versions] : versions_by_domain(state))
            {
                for (const auto& [version, count] : versions)
                {
                    out << YAML::Flow << YAML::BeginMap;
                    put(out, "name", domain);
                    put(out, "version", version);
                    put(out, "vms", count);
                    out << YAML::EndMap;
                }
            }
            out << YAML::EndSeq;
        });
}

} // namespace anvilturn
