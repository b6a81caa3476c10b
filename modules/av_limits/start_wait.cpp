#include <av_limits/start_wait.hpp>

#include <algorithm>

namespace anvilturn
{
namespace
{

// Time after its start within which a VM expects to have its configuration.
constexpr milliseconds start_time(2000.0);
constexpr milliseconds longest_wait(600.0);
// The caller needs the rest of its time for a retry at another VM.
constexpr double wait_share = 0.25;

} // namespace

milliseconds start_wait_until(const start_facts& facts) noexcept
{
    const auto time_left = facts.deadline_ - facts.arrived_;
    const auto until =
        facts.arrived_ + std::min(longest_wait, time_left * wait_share);
    return std::max(facts.arrived_,
                    std::min(until, facts.started_at_ + start_time));
}

} // namespace anvilturn
