#ifndef AV_DAEMON_DAEMON_STATE_HPP
#define AV_DAEMON_DAEMON_STATE_HPP

#include <av_control/control_state.hpp>
#include <av_core/milliseconds.hpp>
#include <av_daemon/fleet_limit_state.hpp>
#include <av_feed/registry_control.hpp>
#include <av_metrics/latency_histogram.hpp>
#include <av_metrics/latency_summary.hpp>
#include <av_model/call_outcome.hpp>
#include <av_model/fleet_view.hpp>
#include <av_model/release.hpp>
#include <av_proxy/request_path_statistics.hpp>
#include <av_shutdown/shutdown_sequence.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>

namespace anvilturn
{

// Snapshot of one process's state: the source of its state dump and its
// metrics page.
struct daemon_state
{
    shutdown_phase phase_ = shutdown_phase::serving;
    bool ready_ = false;
    milliseconds uptime_;
    // CPU time of all threads since the start.
    milliseconds cpu_time_;
    std::uint64_t resident_bytes_ = 0;
    std::shared_ptr<const release> release_;
    std::shared_ptr<const fleet_view> fleet_;
    control_state control_;
    // State of the registry read from the platform's store; not set where VMs
    // distribute releases themselves.
    std::optional<registry_state> registry_;
    // Not set where the settings have no limits for all VMs together.
    std::optional<fleet_limit_state> fleet_limits_;
    request_path_statistics requests_;
    // Answered calls of the last completed window.
    latency_summary latency_;
    // Durations of all calls since the start, by outcome.
    std::map<call_outcome, latency_histogram> durations_;
    // Probes that this VM has sent to targets.
    std::uint64_t probes_sent_ = 0;
};

} // namespace anvilturn

#endif
