#ifndef AV_DAEMON_PLATFORM_BOUNDS_HPP
#define AV_DAEMON_PLATFORM_BOUNDS_HPP

#include <av_settings/settings_sections.hpp>

namespace anvilturn
{

// Returns the section with the ratio of extra attempts derived from the one
// that the platform allows all VMs together; unchanged if the platform sets
// none. The result is below the platform's ratio by a margin, since each VM
// counts its own calls only.
service_settings apply_platform_bounds(service_settings section);

// Returns the section with the deadline set a little before the platform kills
// the process, so that it exits by itself, and with a balancer lag that leaves
// time for running calls; unchanged if the platform does not kill it.
shutdown_settings apply_platform_bounds(shutdown_settings section);

} // namespace anvilturn

#endif
