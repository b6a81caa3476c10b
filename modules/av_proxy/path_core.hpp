// Private to av_proxy.

#ifndef AV_PROXY_PATH_CORE_HPP
#define AV_PROXY_PATH_CORE_HPP

#include <av_core/error.hpp>
#include <av_core/snapshot_cell.hpp>
#include <av_metrics/latency_recorder.hpp>
#include <av_proxy/request_path.hpp>
#include <av_proxy/request_path_settings.hpp>
#include <av_proxy/routing_table.hpp>

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <memory>
#include <vector>

namespace anvilturn
{

class worker;

constexpr std::size_t error_kind_count =
    static_cast<std::size_t>(error_kind::internal) + 1;

// Counters of one worker thread. Only that thread writes them.
struct path_counters
{
    std::atomic<std::uint64_t> answered_{0};
    std::atomic<std::uint64_t> not_run_{0};
    std::atomic<std::uint64_t> unknown_{0};
    std::atomic<std::uint64_t> forwarded_{0};
    std::atomic<std::uint64_t> extra_attempts_{0};
    std::atomic<std::uint64_t> hedges_sent_{0};
    std::atomic<std::uint64_t> hedges_won_{0};
    std::atomic<std::uint64_t> hedges_suppressed_{0};
    std::array<std::atomic<std::uint64_t>, error_kind_count> reasons_{};
    std::atomic<int> calls_{0};
    std::atomic<int> connections_{0};
};

// State that the threads of one request path share.
struct path_core
{
    request_path_settings settings_;
    target_notice_listener listener_;
    latency_recorder* recorder_ = nullptr;

    snapshot_cell<routing_table> table_{std::make_shared<routing_table>()};

    std::atomic<bool> ready_{false};
    std::atomic<bool> draining_{false};
    std::atomic<bool> accepting_{true};
    std::atomic<bool> finishing_{false};
    // When a VM that stops ends the calls that still run, so that their callers
    // get an answer; later than any call unless it stops.
    std::atomic<double> calls_end_at_ms_{
        std::numeric_limits<double>::infinity()};

    // See freshness_input.
    std::atomic<double> resumed_at_ms_{-1.0};
    std::atomic<double> refreshed_at_ms_{-1.0};
    std::atomic<bool> isolated_{false};

    std::vector<std::unique_ptr<worker>> workers_;
};

} // namespace anvilturn

#endif
