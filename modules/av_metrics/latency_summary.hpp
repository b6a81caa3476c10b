#ifndef AV_METRICS_LATENCY_SUMMARY_HPP
#define AV_METRICS_LATENCY_SUMMARY_HPP

#include <av_core/comparison.hpp>

#include <av_core/milliseconds.hpp>

#include <cstdint>
#include <tuple>

namespace anvilturn
{

// Summary of the latencies of answered calls that were recorded in one window.
struct latency_summary
{
    std::uint64_t count_ = 0;
    milliseconds mean_;
    milliseconds median_;
    milliseconds percentile_90_;
    milliseconds percentile_99_;
    milliseconds maximum_;
    // Latencies of calls with any outcome that were dropped because a thread's
    // buffer was full before it was collected. The other members do not include
    // them.
    std::uint64_t dropped_ = 0;

    // Returns all members, for comparison.
    auto tie() const
    {
        return std::tie(count_,
                        mean_,
                        median_,
                        percentile_90_,
                        percentile_99_,
                        maximum_,
                        dropped_);
    }
};

} // namespace anvilturn

#endif
