#ifndef AV_SPREAD_PLATFORM_WATCHERS_HPP
#define AV_SPREAD_PLATFORM_WATCHERS_HPP

#include <av_model/fleet_view.hpp>

#include <cstddef>

namespace anvilturn
{

// Number of VMs of each failure domain that watch the platform.
constexpr std::size_t watchers_per_domain = 2;

// Returns whether this VM is among the watchers of its failure domain: the VMs
// with the greatest rendezvous hashes of their names. Each VM decides by its
// local view; while views differ, a domain may have more or fewer watchers.
bool is_platform_watcher(const fleet_view& fleet);

} // namespace anvilturn

#endif
