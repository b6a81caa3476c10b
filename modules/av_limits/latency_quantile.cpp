#include <av_limits/latency_quantile.hpp>

namespace anvilturn
{

namespace
{

// Fraction by which one sample moves the estimate. Steps up and down balance
// when the fraction of samples above the estimate is one minus the quantile.
constexpr double step_weight = 0.05;

} // namespace

latency_quantile after_sample(latency_quantile estimate,
                              milliseconds sample) noexcept
{
    if (estimate.value_.count() <= 0.0)
    {
        estimate.value_ = sample;
        return estimate;
    }
    const bool above = sample > estimate.value_;
    const double change = above ? step_weight * estimate.quantile_
                                : -step_weight * (1.0 - estimate.quantile_);
    estimate.value_ = estimate.value_ * (1.0 + change);
    return estimate;
}

} // namespace anvilturn
