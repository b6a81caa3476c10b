#include <av_limits/work_estimate.hpp>

#include <algorithm>
#include <cmath>

namespace anvilturn
{
namespace
{

// Minimum weight of one call in the moving averages; until it applies, all
// calls weigh the same.
constexpr double min_sample_weight = 0.05;
// For normally distributed times, 19 of 20 are below the mean and twice the
// mean deviation.
constexpr double deviations_above_mean = 2.0;

} // namespace

work_estimate after_run(work_estimate estimate,
                        double slowdown,
                        milliseconds duration) noexcept
{
    const auto time = duration * (1.0 / std::max(1.0, slowdown));
    const double weight =
        std::max(min_sample_weight, 1.0 / (estimate.samples_ + 1.0));
    const auto difference = time - estimate.mean_;
    if (estimate.samples_ > 0)
    {
        const milliseconds distance(std::abs(difference.count()));
        estimate.deviation_ =
            estimate.deviation_ + (distance - estimate.deviation_) * weight;
    }
    estimate.mean_ = estimate.mean_ + difference * weight;
    ++estimate.samples_;
    return estimate;
}

milliseconds likely_work_time(const work_estimate& estimate) noexcept
{
    return estimate.mean_ + estimate.deviation_ * deviations_above_mean;
}

} // namespace anvilturn
