#ifndef AV_DAEMON_STATE_DUMP_HPP
#define AV_DAEMON_STATE_DUMP_HPP

#include <av_daemon/daemon_state.hpp>

#include <string>

namespace anvilturn
{

// Returns the complete state as YAML. docs/OPERATIONS.md describes the fields.
std::string render_dump(const daemon_state& state);

// Returns the other VMs that this VM knows, with condition, release and last
// contact of each, as YAML.
std::string render_vms(const daemon_state& state);

// Returns the targets with load, latency, failures and state of each, as YAML.
std::string render_targets(const daemon_state& state);

// Returns the release in force on this VM, and by failure domain the number of
// alive VMs with each release version, as YAML.
std::string render_release_status(const daemon_state& state);

} // namespace anvilturn

#endif
