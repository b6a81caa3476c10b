#ifndef AV_DAEMON_BOUND_SETTINGS_HPP
#define AV_DAEMON_BOUND_SETTINGS_HPP

#include <av_feed/platform_bounds.hpp>
#include <av_settings/settings_sections.hpp>

namespace anvilturn
{

// Returns what holds for services on a platform with these bounds. All VMs
// together stay below the platform's ratio with a margin, since each one counts
// for itself.
service_section within_bounds(service_section section,
                              const platform_bounds& bounds);

// Returns how the VM leaves on a platform with these bounds: done a little
// before the process would be killed.
shutdown_settings within_bounds(shutdown_settings section,
                                const platform_bounds& bounds);

} // namespace anvilturn

#endif
