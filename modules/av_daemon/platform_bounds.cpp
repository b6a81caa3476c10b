#include <av_daemon/platform_bounds.hpp>

#include <algorithm>

namespace anvilturn
{
namespace
{

// Share of the platform's ratio that VMs use; the rest covers calls that are
// counted in one window but spent on extra attempts in the next.
constexpr double retry_ratio_usable_share = 0.95;
// Time that the process needs to exit on a VM with a small share of a core.
constexpr milliseconds exit_reserve{500.0};
// Minimum share of the deadline that is left for running calls after the
// balancer has stopped sending callers, when the time before the kill is short.
constexpr double min_call_completion_share = 0.4;
constexpr double milliseconds_per_second = 1000.0;

} // namespace

service_settings apply_platform_bounds(service_settings section)
{
    if (section.fleet_retry_ratio_ > 0.0)
    {
        section.retry_ratio_ =
            section.fleet_retry_ratio_ * retry_ratio_usable_share;
    }
    return section;
}

shutdown_settings apply_platform_bounds(shutdown_settings section)
{
    if (section.killed_after_s_ <= 0.0)
    {
        return section;
    }
    const milliseconds time_until_kill(section.killed_after_s_ *
                                       milliseconds_per_second);
    section.deadline_ =
        std::max(time_until_kill - exit_reserve, time_until_kill * 0.5);
    section.balancer_lag_ =
        std::min(section.balancer_lag_,
                 section.deadline_ * (1.0 - min_call_completion_share));
    return section;
}

} // namespace anvilturn
