#ifndef AV_REPLICATION_REPLICATION_TIMING_HPP
#define AV_REPLICATION_REPLICATION_TIMING_HPP

#include <av_core/milliseconds.hpp>

namespace anvilturn
{

// Interval between the heartbeats of a watcher to its subscribers.
constexpr milliseconds replication_heartbeat_interval{350.0};

// A subscription ends after this time without a message from the watcher.
// Changes must reach all VMs within two seconds even if a watcher freezes.
constexpr milliseconds watcher_timeout{900.0};

// Updates are ignored if the watcher's contents are older.
constexpr milliseconds max_contents_age{1000.0};

// Time limit for connecting to a watcher. It can be short because the operating
// system completes the TCP handshake without the watcher's process, in one
// round trip; a machine that is down does not answer at all.
constexpr milliseconds watcher_connect_timeout{150.0};

} // namespace anvilturn

#endif
