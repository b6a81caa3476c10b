#ifndef AV_PROXY_ROUTING_TABLE_HPP
#define AV_PROXY_ROUTING_TABLE_HPP

#include <av_model/fleet_view.hpp>
#include <av_model/release.hpp>
#include <av_proxy/rule_matcher.hpp>
#include <av_proxy/service_state.hpp>
#include <av_proxy/target_state.hpp>
#include <av_routing/choice_policy.hpp>

#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace anvilturn
{

// One target of a service with its shared state.
struct target_entry
{
    target_spec spec_;
    std::shared_ptr<target_state> state_;
    bool same_domain_ = true;
    // Connections that one thread of this VM may have to the target, so that
    // all VMs together stay below the target's limit.
    int connections_per_thread_ = 1;
};

// One service, ready for choices.
struct service_entry
{
    service_spec spec_;
    const choice_policy* policy_ = nullptr;
    std::shared_ptr<service_state> state_;
    std::vector<target_entry> targets_;
    // Where this VM hands the service's calls to; its state is null if this VM
    // dispatches them itself.
    target_entry dispatcher_target_;
    // Whether this VM sees all calls of the service in its failure domain.
    bool is_dispatcher_vm_ = false;
};

// Everything that the request path needs of a release and of the list of VMs,
// as one immutable snapshot. Shared states survive from one table to the next.
struct routing_table
{
    release_version version_ = 0;
    rule_matcher rules_;
    std::map<std::string, service_entry, std::less<>> services_;
    // States of the VMs that calls are forwarded to, by forward address.
    std::map<std::string, std::shared_ptr<target_state>> vms_;

    // Returns the service of that name; null if there is none.
    const service_entry* find_service(std::string_view name) const;
};

// Builds the table of a release. States of targets that keep their name and
// address, of services that keep their name, and of VMs that keep their
// forward address are taken over from the previous table, which may be null.
// A target that joins a service later begins in slow start.
std::shared_ptr<const routing_table>
build_routing_table(const release& value,
                    const fleet_view& fleet,
                    std::size_t thread_count,
                    const routing_table* previous,
                    milliseconds now);

// Replaces the targets that the release names by those that registered
// themselves. Targets of services that the release does not name are left out.
release
with_registered_targets(release value,
                        const std::map<std::string, target_spec>& registered);

// Returns the connections that one thread may have to a target: this VM's
// share of the target's limit, split over its threads.
int connection_share(int connection_limit,
                     std::size_t vm_count,
                     std::size_t thread_count);

} // namespace anvilturn

#endif
