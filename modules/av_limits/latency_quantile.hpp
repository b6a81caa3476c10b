#ifndef AV_LIMITS_LATENCY_QUANTILE_HPP
#define AV_LIMITS_LATENCY_QUANTILE_HPP

#include <av_core/milliseconds.hpp>

namespace anvilturn
{

// Streaming estimate of a latency quantile, which follows changes and stores no
// samples.
struct latency_quantile
{
    // The quantile that is estimated, between 0 and 1.
    double quantile_ = 0.95;
    // The current estimate; zero before the first sample.
    milliseconds value_{0.0};
};

// Returns the estimate after one more sample.
latency_quantile after_sample(latency_quantile estimate,
                              milliseconds sample) noexcept;

} // namespace anvilturn

#endif
