#ifndef AV_METRICS_LATENCY_HISTOGRAM_HPP
#define AV_METRICS_LATENCY_HISTOGRAM_HPP

#include <av_core/comparison.hpp>
#include <av_core/milliseconds.hpp>

#include <array>
#include <cstdint>
#include <tuple>

namespace anvilturn
{

// Upper bounds of the buckets: from an answer of a target nearby to the longest
// deadlines that callers have.
constexpr std::array<double, 15> latency_bucket_bounds_ms = {5.0,
                                                             10.0,
                                                             25.0,
                                                             50.0,
                                                             100.0,
                                                             200.0,
                                                             300.0,
                                                             500.0,
                                                             800.0,
                                                             1200.0,
                                                             2000.0,
                                                             3000.0,
                                                             5000.0,
                                                             10000.0,
                                                             20000.0};

// How many calls took how long.
struct latency_histogram
{
    // Calls up to each bound, those up to the bounds before included.
    std::array<std::uint64_t, latency_bucket_bounds_ms.size()>
        cumulative_counts_{};
    std::uint64_t count_ = 0;
    milliseconds sum_;

    // Returns all members, for comparison.
    auto tie() const
    {
        return std::tie(cumulative_counts_, count_, sum_);
    }
};

} // namespace anvilturn

#endif
