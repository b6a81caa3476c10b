#include <av_limits/latency_quantile.hpp>

namespace anvilturn
{

namespace
{

// Fraction by which one sample moves the estimate. Steps up and down balance
// when the fraction of samples above the estimate is one minus the quantile.
constexpr double step = 0.05;

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
    const double change =
        above ? step * estimate.share_ : -step * (1.0 - estimate.share_);
    estimate.value_ = estimate.value_ * (1.0 + change);
    return estimate;
}

} // namespace anvilturn
