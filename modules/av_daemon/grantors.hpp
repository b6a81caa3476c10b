#ifndef AV_DAEMON_GRANTORS_HPP
#define AV_DAEMON_GRANTORS_HPP

#include <av_quota/fleet_limit.hpp>
#include <av_settings/settings.hpp>

#include <string>
#include <vector>

namespace anvilturn
{

// Returns the addresses of the VMs that own the shares of the limits that hold
// for all VMs together, in an order that does not depend on that of the seeds:
// the first three IP addresses of vm.seed_peers with the port of listen.grants;
// without seeds, this VM alone. Empty if the settings have no such limits.
std::vector<std::string> grantor_addresses(const settings& value);

// Returns whether this VM is one of the grantors.
bool is_grantor(const settings& value);

// Returns the bounds of the limits in the settings.
limit_bounds limit_bounds_of(const settings& value);

} // namespace anvilturn

#endif
