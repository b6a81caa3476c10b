#include <av_limits/load_profile.hpp>

#include <algorithm>

namespace anvilturn
{
namespace
{

// Minimum weight of one call in a level's moving average; until it applies, all
// calls of the level weigh the same.
constexpr double min_sample_weight = 0.05;
// Calls of a level before its mean is used in comparisons.
constexpr int min_level_samples = 6;
// Factor by which fewer concurrent calls must raise the throughput before they
// are preferred.
constexpr double min_throughput_gain = 1.05;
// Levels below this one count as low load for the typical time; if they have no
// samples, the first level with samples is used instead.
constexpr std::size_t low_load_levels = 3;

} // namespace

load_profile after_call(load_profile profile,
                        int load_at_start,
                        double slowdown,
                        milliseconds duration) noexcept
{
    const auto index =
        std::min(static_cast<std::size_t>(std::max(0, load_at_start)),
                 profiled_level_count - 1);
    auto& level = profile.levels_[index];
    const auto time = duration * (1.0 / std::max(1.0, slowdown));
    const double weight =
        std::max(min_sample_weight, 1.0 / (level.samples_ + 1.0));
    level.mean_time_ = level.mean_time_ + (time - level.mean_time_) * weight;
    ++level.samples_;
    return profile;
}

milliseconds typical_time(const load_profile& profile) noexcept
{
    milliseconds sum;
    double samples = 0.0;
    for (std::size_t index = 0; index < profiled_level_count; ++index)
    {
        const auto& level = profile.levels_[index];
        if (index >= low_load_levels && samples > 0.0)
        {
            break;
        }
        sum = sum + level.mean_time_ * static_cast<double>(level.samples_);
        samples += level.samples_;
    }
    return samples > 0.0 ? sum * (1.0 / samples) : milliseconds(0.0);
}

int best_concurrency(const load_profile& profile, int slots) noexcept
{
    const int max_calls =
        std::min(slots, static_cast<int>(profiled_level_count));
    milliseconds time = typical_time(profile);
    if (time.count() <= 0.0)
    {
        return slots;
    }
    int best = 0;
    double best_rate = 0.0;
    double rate_at_calls = 0.0;
    // In steady state with this many concurrent calls, each new call finds one
    // call less at the target.
    for (int calls = 1; calls <= max_calls; ++calls)
    {
        const auto& level =
            profile.levels_[static_cast<std::size_t>(calls - 1)];
        if (level.samples_ >= min_level_samples)
        {
            time = level.mean_time_;
        }
        rate_at_calls = calls / time.count();
        if (rate_at_calls >= best_rate)
        {
            best = calls;
            best_rate = rate_at_calls;
        }
    }
    return best_rate >= rate_at_calls * min_throughput_gain ? best : slots;
}

} // namespace anvilturn
