#include <av_feed/target_log.hpp>

#include <av_core/log_event.hpp>

#include <absl/strings/str_join.h>

namespace anvilturn
{
namespace
{

// Returns whether the entries differ in more than the time for which the target
// is cold, whose changes are logged where they are used.
bool is_changed(const target_spec& before, target_spec after)
{
    after.cold_for_ = before.cold_for_;
    after.cold_revision_ = before.cold_revision_;
    return before != after;
}

void log_listing(const std::map<std::string, target_spec>& targets,
                 store_revision revision)
{
    std::map<std::string, int> services;
    for (const auto& entry : targets)
    {
        ++services[entry.second.service_];
    }
    log_event(log_level::info, "targets_listed")
        .field("targets", targets.size())
        .field("services",
               absl::StrJoin(services, ",", absl::PairFormatter(":")))
        .field("revision", revision)
        .write();
}

void log_target(std::string_view event,
                const target_spec& target,
                store_revision revision)
{
    log_event(log_level::info, event)
        .field("target", target.name_)
        .field("service", target.service_)
        .field("address", target.address_)
        .field("failure_domain", target.failure_domain_)
        .field("draining", target.draining_)
        .field("incarnation", target.incarnation_)
        .field("revision", revision)
        .write();
}

void log_missing(std::string_view event,
                 const domain_set& domains,
                 const domain_set& others,
                 store_revision revision)
{
    for (const auto& domain : domains)
    {
        if (others.count(domain) == 0)
        {
            log_event(log_level::info, event)
                .field("failure_domain", domain)
                .field("revision", revision)
                .write();
        }
    }
}

} // namespace

void log_evacuation_changes(const domain_set& before,
                            const domain_set& after,
                            store_revision revision)
{
    log_missing("evacuation_began", after, before, revision);
    log_missing("evacuation_ended", before, after, revision);
}

void log_target_changes(const std::map<std::string, target_spec>& before,
                        const std::map<std::string, target_spec>& after,
                        store_revision revision)
{
    if (before.empty())
    {
        log_listing(after, revision);
        return;
    }
    for (const auto& entry : after)
    {
        const auto known = before.find(entry.first);
        if (known == before.end())
        {
            log_target("target_registered", entry.second, revision);
        }
        else if (is_changed(known->second, entry.second))
        {
            log_target("target_changed", entry.second, revision);
        }
    }
    for (const auto& entry : before)
    {
        if (after.count(entry.first) == 0)
        {
            log_target("target_unregistered", entry.second, revision);
        }
    }
}

} // namespace anvilturn
