#ifndef AV_PROXY_ROUTING_TABLE_HPP
#define AV_PROXY_ROUTING_TABLE_HPP

#include <av_model/fleet_view.hpp>
#include <av_model/release.hpp>
#include <av_proxy/region_limit.hpp>
#include <av_proxy/release_accounts.hpp>
#include <av_proxy/rule_matcher.hpp>
#include <av_proxy/service_state.hpp>
#include <av_proxy/target_state.hpp>
#include <av_routing/choice_policy.hpp>

#include <cstddef>
#include <map>
#include <memory>
#include <set>
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
    // Maximum number of connections from one thread of this VM to the target,
    // which keeps all VMs together below the connection limit of the target.
    int connections_per_thread_ = 1;
    // Whether the failure domain of the target is evacuated, and its region;
    // empty if it belongs to none.
    bool evacuated_ = false;
    std::string region_{};
};

// One service with what is needed to choose a target for its calls.
struct service_entry
{
    service_spec spec_;
    const choice_policy* policy_ = nullptr;
    std::shared_ptr<service_state> state_;
    std::vector<target_entry> targets_;
    // The dispatcher VM that this VM forwards the calls of the service to. Its
    // state_ is null if this VM dispatches them itself.
    target_entry dispatcher_target_;
    // Whether this VM is the dispatcher VM, which sees all calls of the service
    // in its failure domain.
    bool is_dispatcher_vm_ = false;
    // Whether any of the targets is evacuated.
    bool has_evacuated_targets_ = false;
};

// Returns whether the target is neither evacuated nor outside the regions.
bool is_permitted(const target_entry& target,
                  const region_limit& limit) noexcept;

// Returns whether the target that was chosen by this table or an earlier one
// may be sent a call now: it is still registered, is not leaving and is
// permitted.
bool may_be_called(const service_entry& service,
                   const target_state& target,
                   const region_limit& limit) noexcept;

// Returns whether the service has a target that is permitted, whether or not it
// can be used now, or no target that would be excluded.
bool has_permitted_target(const service_entry& service,
                          const region_limit& limit) noexcept;

// Returns whether the service's policy queries the load of targets before it
// chooses one.
bool uses_load_queries(const service_entry& service) noexcept;

// Immutable snapshot of what the request path needs from a release and from the
// list of VMs. Shared states are carried over from one table to the next.
struct routing_table
{
    release_version version_ = 0;
    // Shared by the tables of one release; never null.
    std::shared_ptr<const rule_matcher> rules_ =
        std::make_shared<const rule_matcher>();
    // Shared by the tables of one release; null if it has no accounts.
    std::shared_ptr<const release_accounts> accounts_;
    std::map<std::string, service_entry, std::less<>> services_;
    // States of the VMs that calls are forwarded to, by forward address.
    std::map<std::string, std::shared_ptr<target_state>> vms_;

    // Returns the service with that name; null if there is none.
    const service_entry* find_service(std::string_view name) const;
};

// What a routing table is built from. Targets change far more often than the
// release, so nothing of the release is copied or indexed for each table.
struct routing_table_input
{
    const release& release_;
    std::shared_ptr<const rule_matcher> rules_;
    // By name. Those of services that are not in the release are omitted.
    const std::map<std::string, target_spec>& targets_;
    const fleet_view& fleet_;
    std::size_t thread_count_ = 1;
    // The table that is replaced; null if there is none.
    const routing_table* previous_ = nullptr;
    // Null if the release has no accounts.
    std::shared_ptr<const release_accounts> accounts_ = nullptr;
    // The evacuated failure domains, and the region of each failure domain;
    // null if there are none.
    const std::set<std::string>* evacuated_domains_ = nullptr;
    const std::map<std::string, std::string>* regions_ = nullptr;
};

// Builds a table. Carries over the states of targets that keep their name,
// address and incarnation, of services that keep their name, and of VMs that
// keep their forward address. A target that joins a known service later begins
// in slow start.
std::shared_ptr<const routing_table>
build_routing_table(const routing_table_input& input, milliseconds now);

// Returns the number of connections that one thread may have to a target: an
// equal share of the limit for each VM, but at least two, divided among its
// threads, with at least one for each.
int connection_share(int connection_limit,
                     std::size_t vm_count,
                     std::size_t thread_count);

} // namespace anvilturn

#endif
