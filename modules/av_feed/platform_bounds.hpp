#ifndef AV_FEED_PLATFORM_BOUNDS_HPP
#define AV_FEED_PLATFORM_BOUNDS_HPP

#include <av_core/comparison.hpp>
#include <av_core/milliseconds.hpp>

#include <optional>
#include <tuple>

namespace anvilturn
{

// What the platform holds a deployment to, where it says so. The settings hold
// for the rest.
struct platform_bounds
{
    // Extra attempts of all VMs together, as a share of first ones.
    std::optional<double> retry_ratio_;
    // From the signal to stop until the process is killed.
    std::optional<milliseconds> stop_grace_;

    // Returns all members, for comparison.
    auto tie() const
    {
        return std::tie(retry_ratio_, stop_grace_);
    }
};

} // namespace anvilturn

#endif
