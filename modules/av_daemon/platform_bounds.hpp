#ifndef AV_DAEMON_PLATFORM_BOUNDS_HPP
#define AV_DAEMON_PLATFORM_BOUNDS_HPP

#include <av_settings/settings_sections.hpp>

namespace anvilturn
{

// Returns the section with what the platform allows worked in. All VMs together
// stay below its ratio of extra attempts with a margin, since each one counts
// for itself.
service_settings apply_platform_bounds(service_settings section);

// Returns the section with what the platform allows worked in: the VM has left
// a little before its process would be killed.
shutdown_settings apply_platform_bounds(shutdown_settings section);

} // namespace anvilturn

#endif
