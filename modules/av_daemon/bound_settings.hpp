#ifndef AV_DAEMON_BOUND_SETTINGS_HPP
#define AV_DAEMON_BOUND_SETTINGS_HPP

#include <av_settings/settings_sections.hpp>

namespace anvilturn
{

// Returns the section with the retry ratio derived from the ratio that the
// platform allows all VMs together; unchanged if the platform sets none. The
// result is below the platform's ratio by a margin, since each VM counts its
// own calls only.
service_section within_bounds(service_section section);

// Returns the section with the deadline set a little before the platform kills
// the process, so that it exits by itself, and with a balancer lag that leaves
// time for running calls; unchanged if the platform does not kill it.
shutdown_settings within_bounds(shutdown_settings section);

} // namespace anvilturn

#endif
