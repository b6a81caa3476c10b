#ifndef AV_PEER_PEER_TRAFFIC_HPP
#define AV_PEER_PEER_TRAFFIC_HPP

#include <av_core/comparison.hpp>

#include <av_core/milliseconds.hpp>

#include <cstdint>
#include <tuple>

namespace anvilturn
{

// Statistics of a peer_endpoint since it was opened. Bytes are those of the TCP
// payload.
struct peer_traffic
{
    std::uint64_t bytes_sent_ = 0;
    std::uint64_t bytes_received_ = 0;
    std::uint64_t calls_sent_ = 0;
    std::uint64_t calls_received_ = 0;
    std::uint64_t calls_failed_ = 0;
    // Calls from peers that were refused: malformed or of another deployment.
    std::uint64_t calls_refused_ = 0;
    // Accepted connections that ended without a valid call: over the connection
    // limit, idle, disconnected or carrying malformed data.
    std::uint64_t connections_refused_ = 0;
    // CPU time of the endpoint's thread.
    milliseconds cpu_time_{0.0};

    // Returns all members, for comparison.
    auto tie() const
    {
        return std::tie(bytes_sent_,
                        bytes_received_,
                        calls_sent_,
                        calls_received_,
                        calls_failed_,
                        calls_refused_,
                        connections_refused_,
                        cpu_time_);
    }
};

} // namespace anvilturn

#endif
