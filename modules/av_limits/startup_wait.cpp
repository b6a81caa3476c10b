#include <av_limits/startup_wait.hpp>

#include <algorithm>

namespace anvilturn
{
namespace
{

// Time after its start within which a VM expects to have its configuration.
constexpr milliseconds startup_period(2000.0);
// The caller needs the rest of its time for a retry at another VM. It is the
// share of their time left for which callers themselves wait before they try
// another VM.
constexpr double max_startup_wait_share = 1.0 / 3.0;

} // namespace

milliseconds startup_wait_deadline(const startup_wait_input& input) noexcept
{
    const auto time_left = input.deadline_ - input.arrived_;
    const auto until = input.arrived_ + time_left * max_startup_wait_share;
    return std::max(input.arrived_,
                    std::min(until, input.started_at_ + startup_period));
}

} // namespace anvilturn
