#include <av_limits/load_profile.hpp>

#include <algorithm>

namespace anvilturn
{
namespace
{

// Weight of one call in a level's mean; the first ones count alike.
constexpr double min_sample_weight = 0.05;
// Calls of a level before it is compared with others.
constexpr int min_level_samples = 6;
// What fewer calls at once must gain before they are preferred.
constexpr double min_throughput_gain = 1.05;
// Levels up to this part of the highest seen are taken for the usual time.
constexpr std::size_t low_load_levels = 3;

} // namespace

load_profile after_call(load_profile profile,
                        int load_at_start,
                        double slowdown,
                        milliseconds took) noexcept
{
    const auto index =
        std::min(static_cast<std::size_t>(std::max(0, load_at_start)),
                 profiled_level_count - 1);
    auto& level = profile.levels_[index];
    const auto time = took * (1.0 / std::max(1.0, slowdown));
    const double weight =
        std::max(min_sample_weight, 1.0 / (level.samples_ + 1.0));
    level.time_ = level.time_ + (time - level.time_) * weight;
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
        sum = sum + level.time_ * static_cast<double>(level.samples_);
        samples += level.samples_;
    }
    return samples > 0.0 ? sum * (1.0 / samples) : milliseconds(0.0);
}

int best_concurrency(const load_profile& profile, int slots) noexcept
{
    const int most = std::min(slots, static_cast<int>(profiled_level_count));
    milliseconds time = typical_time(profile);
    if (time.count() <= 0.0)
    {
        return slots;
    }
    int best = 0;
    double best_rate = 0.0;
    double rate_at_calls = 0.0;
    // In steady state with so many calls at once, each new one finds one call
    // less.
    for (int calls = 1; calls <= most; ++calls)
    {
        const auto& level =
            profile.levels_[static_cast<std::size_t>(calls - 1)];
        if (level.samples_ >= min_level_samples)
        {
            time = level.time_;
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
