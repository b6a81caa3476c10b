#ifndef AV_REPLICATION_REPLICATION_TIMING_HPP
#define AV_REPLICATION_REPLICATION_TIMING_HPP

#include <av_core/milliseconds.hpp>

namespace anvilturn
{

// How often a watcher is heard when nothing changes.
constexpr milliseconds replication_heartbeat_interval{350.0};

// A watcher that was not heard for this long is given up: changes must be
// known everywhere within two seconds, also when a watcher freezes.
constexpr milliseconds watcher_timeout{900.0};

// A watcher that did not hear the store for this long can't vouch for what it
// tells.
constexpr milliseconds max_store_response_age{1000.0};

// Time limit of a connection to a watcher: its process has no part in the
// handshake, which takes one round trip. A machine that is down does not
// answer.
constexpr milliseconds watcher_connect_timeout{150.0};

} // namespace anvilturn

#endif
