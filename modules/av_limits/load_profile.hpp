#ifndef AV_LIMITS_LOAD_PROFILE_HPP
#define AV_LIMITS_LOAD_PROFILE_HPP

#include <av_core/milliseconds.hpp>

#include <array>
#include <cstddef>

namespace anvilturn
{

// Number of levels of a load profile. Higher loads are recorded in the last
// level.
constexpr std::size_t profiled_level_count = 32;

// Latency of a service's calls at its targets by the number of calls that the
// target had when they began. Times are divided by the slowdown that the target
// reported, which leaves out the effect of other workloads on its machine.
struct load_profile
{
    struct level
    {
        milliseconds mean_time_{0.0};
        int samples_ = 0;
    };

    std::array<level, profiled_level_count> levels_{};
};

// Returns the profile after a call that took the duration at a target which had
// load_at_start other calls when it began.
load_profile after_call(load_profile profile,
                        int load_at_start,
                        double slowdown,
                        milliseconds duration) noexcept;

// Returns the typical time of a call at a target with low load; zero before the
// first response.
milliseconds typical_time(const load_profile& profile) noexcept;

// Returns the number of concurrent calls at which a target has the highest
// throughput: its slots, or fewer if it slows down when it is nearly full.
int best_concurrency(const load_profile& profile, int slots) noexcept;

} // namespace anvilturn

#endif
