#include <av_daemon/platform_bounds.hpp>

#include <algorithm>

namespace anvilturn
{
namespace
{

// Part of the platform's ratio that VMs use; the rest covers calls that one
// window counts and the next one spends.
constexpr double retry_ratio_usable_share = 0.95;
// Time to end the process on a VM with a small share of a core.
constexpr milliseconds exit_reserve{500.0};
// The least part of a short grace that is left for calls after the balancer
// has stopped sending callers.
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
    const milliseconds grace(section.killed_after_s_ * milliseconds_per_second);
    section.deadline_ = std::max(grace - exit_reserve, grace * 0.5);
    section.balancer_lag_ =
        std::min(section.balancer_lag_,
                 section.deadline_ * (1.0 - min_call_completion_share));
    return section;
}

} // namespace anvilturn
