#include <av_daemon/bound_settings.hpp>

#include <algorithm>

namespace anvilturn
{
namespace
{

// Part of the platform's ratio that VMs use; the rest covers calls that one
// window counts and the next one spends.
constexpr double used_ratio = 0.9;
// Time to end the process on a VM with a small share of a core.
constexpr milliseconds exit_reserve{500.0};
// The least part of a short grace that is left for calls after the balancer
// has stopped sending callers.
constexpr double calls_share = 0.4;

} // namespace

service_section within_bounds(service_section section,
                              const platform_bounds& bounds)
{
    if (bounds.retry_ratio_)
    {
        section.retry_ratio_ = *bounds.retry_ratio_ * used_ratio;
    }
    return section;
}

shutdown_settings within_bounds(shutdown_settings section,
                                const platform_bounds& bounds)
{
    if (!bounds.stop_grace_)
    {
        return section;
    }
    const auto grace = *bounds.stop_grace_;
    section.deadline_ = std::max(grace - exit_reserve, grace * 0.5);
    section.balancer_lag_ = std::min(section.balancer_lag_,
                                     section.deadline_ * (1.0 - calls_share));
    return section;
}

} // namespace anvilturn
