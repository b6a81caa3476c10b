#include <av_limits/load_profile.hpp>

#include <algorithm>

namespace anvilturn
{
namespace
{

// Minimum weight of one call in a level's moving average; until it applies, all
// calls of the level weigh the same.
constexpr double least_weight = 0.05;
// Calls of a level before its mean is used in comparisons.
constexpr int samples_to_judge = 6;
// Factor by which fewer concurrent calls must raise the throughput before they
// are preferred.
constexpr double least_gain = 1.05;
// Levels below this one count as low load for the typical time; if they have no
// samples, the next level with samples does.
constexpr std::size_t usual_levels = 3;

} // namespace

load_profile after_call(load_profile profile,
                        int load_at_start,
                        double slowdown,
                        milliseconds took) noexcept
{
    const auto index =
        std::min(static_cast<std::size_t>(std::max(0, load_at_start)),
                 profiled_loads - 1);
    auto& level = profile.levels_[index];
    const auto time = took * (1.0 / std::max(1.0, slowdown));
    const double weight = std::max(least_weight, 1.0 / (level.samples_ + 1.0));
    level.time_ = level.time_ + (time - level.time_) * weight;
    ++level.samples_;
    return profile;
}

milliseconds usual_time(const load_profile& profile) noexcept
{
    milliseconds sum;
    double samples = 0.0;
    for (std::size_t index = 0; index < profiled_loads; ++index)
    {
        const auto& level = profile.levels_[index];
        if (index >= usual_levels && samples > 0.0)
        {
            break;
        }
        sum = sum + level.time_ * static_cast<double>(level.samples_);
        samples += level.samples_;
    }
    return samples > 0.0 ? sum * (1.0 / samples) : milliseconds(0.0);
}

int best_concurrency(const load_profile& profile, int slots) noexcept
{
    const int most = std::min(slots, static_cast<int>(profiled_loads));
    milliseconds time = usual_time(profile);
    if (time.count() <= 0.0)
    {
        return slots;
    }
    int best = 0;
    double best_rate = 0.0;
    double full_rate = 0.0;
    // In steady state with this many concurrent calls, each new call finds one
    // call less at the target.
    for (int calls = 1; calls <= most; ++calls)
    {
        const auto& level =
            profile.levels_[static_cast<std::size_t>(calls - 1)];
        if (level.samples_ >= samples_to_judge)
        {
            time = level.time_;
        }
        full_rate = calls / time.count();
        if (full_rate >= best_rate)
        {
            best = calls;
            best_rate = full_rate;
        }
    }
    return best_rate >= full_rate * least_gain ? best : slots;
}

} // namespace anvilturn
