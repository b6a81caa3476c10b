#ifndef AV_DAEMON_FLEET_LIMIT_STATE_HPP
#define AV_DAEMON_FLEET_LIMIT_STATE_HPP

#include <av_grants/grant_server.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace anvilturn
{

// State of the limits that hold for all VMs together, at one point in time.
// Counts are since the start of the process.
struct fleet_limit_state
{
    std::vector<std::string> grantors_;
    // What this VM's calls got: permits, refusals because a limit is reached,
    // and refusals because no grantor responded.
    std::uint64_t granted_ = 0;
    std::uint64_t over_limit_ = 0;
    std::uint64_t unavailable_ = 0;
    // Messages to grantors, and those without a response in time.
    std::uint64_t queries_ = 0;
    std::uint64_t failed_queries_ = 0;
    // Grantors that can't be reached, counted by each request thread.
    std::int64_t unreachable_grantors_ = 0;
    // Limits that this VM has state for.
    std::int64_t keys_ = 0;
    // What this VM has done as a grantor; empty if it is none.
    std::optional<grant_server_statistics> server_;
};

} // namespace anvilturn

#endif
