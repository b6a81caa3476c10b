#include <av_limits/startup_wait.hpp>

#include <algorithm>

namespace anvilturn
{
namespace
{

// Time after the start in which a VM expects to get ready.
constexpr milliseconds startup_period(2000.0);
constexpr milliseconds longest_wait(600.0);
// The caller needs the rest for a return to another VM.
constexpr double max_startup_wait_share = 0.25;

} // namespace

milliseconds startup_wait_deadline(const startup_wait_input& facts) noexcept
{
    const auto time_left = facts.deadline_ - facts.arrived_;
    const auto until =
        facts.arrived_ +
        std::min(longest_wait, time_left * max_startup_wait_share);
    return std::max(facts.arrived_,
                    std::min(until, facts.started_at_ + startup_period));
}

} // namespace anvilturn
