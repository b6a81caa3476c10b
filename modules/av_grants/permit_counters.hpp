#ifndef AV_GRANTS_PERMIT_COUNTERS_HPP
#define AV_GRANTS_PERMIT_COUNTERS_HPP

#include <atomic>
#include <cstdint>

namespace anvilturn
{

// What the permit clients of a process have done since its start. Shared by the
// clients on all request threads; may be read from any thread.
struct permit_counters
{
    // Answers to acquire, by result.
    std::atomic<std::uint64_t> granted_{0};
    std::atomic<std::uint64_t> over_limit_{0};
    std::atomic<std::uint64_t> unavailable_{0};
    // Messages sent to grantors.
    std::atomic<std::uint64_t> queries_{0};
    // Messages that a grantor did not respond to in time or at all.
    std::atomic<std::uint64_t> failed_queries_{0};
    // Grantors that can't be reached now, counted by each request thread.
    std::atomic<std::int64_t> unreachable_grantors_{0};
    // Limits that the clients have state for.
    std::atomic<std::int64_t> keys_{0};
};

} // namespace anvilturn

#endif
