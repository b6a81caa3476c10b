#ifndef AV_PEER_PEER_COUNTERS_HPP
#define AV_PEER_PEER_COUNTERS_HPP

#include <atomic>
#include <cstdint>

namespace anvilturn
{

// The counters behind peer_traffic. Only the endpoint's thread increments them;
// any thread may read them.
struct peer_counters
{
    std::atomic<std::uint64_t> bytes_sent_{0};
    std::atomic<std::uint64_t> bytes_received_{0};
    std::atomic<std::uint64_t> calls_sent_{0};
    std::atomic<std::uint64_t> calls_received_{0};
    std::atomic<std::uint64_t> calls_failed_{0};
    std::atomic<std::uint64_t> calls_refused_{0};
    std::atomic<std::uint64_t> connections_refused_{0};
};

} // namespace anvilturn

#endif
