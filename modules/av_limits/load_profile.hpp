#ifndef AV_LIMITS_LOAD_PROFILE_HPP
#define AV_LIMITS_LOAD_PROFILE_HPP

#include <av_core/milliseconds.hpp>

#include <array>
#include <cstddef>

namespace anvilturn
{

// Calls at a target beyond which the profile does not tell apart.
constexpr std::size_t profiled_level_count = 32;

// How long calls of a service take at its targets by the number of calls that
// the target had when they began. Times are divided by the slowdown that the
// target reported, so that neighbours on its machine don't count.
struct load_profile
{
    struct level
    {
        milliseconds time_{0.0};
        int samples_ = 0;
    };

    std::array<level, profiled_level_count> levels_{};
};

// Returns the profile after a call that took the time at a target with so many
// other calls.
load_profile after_call(load_profile profile,
                        int load_at_start,
                        double slowdown,
                        milliseconds took) noexcept;

// Returns the time of a call at a target that is not nearly full; zero before
// the first answer.
milliseconds typical_time(const load_profile& profile) noexcept;

// Returns the number of calls at a target with which it completes the most in
// a second: its slots, or fewer if it slows down when it is nearly full.
int best_concurrency(const load_profile& profile, int slots) noexcept;

} // namespace anvilturn

#endif
