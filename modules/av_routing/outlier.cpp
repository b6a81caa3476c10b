#include <av_routing/outlier.hpp>

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <numeric>

namespace anvilturn
{

namespace
{

constexpr double ejecting_error_share = 0.3;
constexpr double error_share_weight = 0.05;
constexpr milliseconds base_ejection_time(1000.0);
constexpr int max_doublings = 6;
// After this many times the duration of its last ejection without another one,
// a target is next ejected for the base time again.
constexpr double ejection_reset_factor = 4.0;
constexpr double straggler_factor = 3.0;
// Margin for the latency noise of the machines, which matters at short
// latencies.
constexpr milliseconds straggler_margin(2.0);

milliseconds ejection_duration(int ejections) noexcept
{
    return base_ejection_time *
           std::ldexp(1.0, std::min(ejections, max_doublings));
}

outlier_state eject(outlier_state state, milliseconds now) noexcept
{
    const auto last_duration =
        ejection_duration(std::max(0, state.ejections_ - 1));
    const bool history_expired =
        now > state.ejected_until_ + last_duration * ejection_reset_factor;
    const int before = history_expired ? 0 : state.ejections_;
    outlier_state next;
    next.ejections_ = before + 1;
    next.ejected_until_ = now + ejection_duration(before);
    return next;
}

} // namespace

outlier_state after_result(outlier_state state,
                           bool failed,
                           milliseconds now,
                           int ejecting_streak) noexcept
{
    state.error_share_ +=
        error_share_weight * ((failed ? 1.0 : 0.0) - state.error_share_);
    state.error_streak_ = failed ? state.error_streak_ + 1 : 0;
    const bool should_eject = state.error_streak_ >= ejecting_streak ||
                              state.error_share_ >= ejecting_error_share;
    return should_eject && !is_ejected(state, now) ? eject(state, now) : state;
}

outlier_state after_straggler_ejection(outlier_state state,
                                       milliseconds now) noexcept
{
    return is_ejected(state, now) ? state : eject(state, now);
}

bool is_ejected(const outlier_state& state, milliseconds now) noexcept
{
    return now < state.ejected_until_;
}

bool is_straggler(milliseconds latency, milliseconds median) noexcept
{
    return median.count() > 0.0 &&
           latency > median * straggler_factor + straggler_margin;
}

milliseconds median_latency(std::vector<milliseconds> latencies)
{
    const auto has_no_sample = [](milliseconds value)
    {
        return value.count() <= 0.0;
    };
    latencies.erase(
        std::remove_if(latencies.begin(), latencies.end(), has_no_sample),
        latencies.end());
    if (latencies.empty())
    {
        return milliseconds(0.0);
    }
    const auto middle =
        latencies.begin() + static_cast<std::ptrdiff_t>(latencies.size() / 2);
    std::nth_element(latencies.begin(), middle, latencies.end());
    return *middle;
}

std::vector<bool>
limit_ejections(const std::vector<ejection_candidate>& targets)
{
    std::vector<std::size_t> order(targets.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::stable_sort(order.begin(),
                     order.end(),
                     [&](std::size_t a, std::size_t b)
                     {
                         return targets[a].ejection_ends_at_ >
                                targets[b].ejection_ends_at_;
                     });
    const auto add_slots = [](int sum, const ejection_candidate& target)
    {
        return sum + target.slots_;
    };
    const int all =
        std::accumulate(targets.begin(), targets.end(), 0, add_slots);
    std::vector<bool> result(targets.size(), false);
    int ejected_slots = 0;
    for (const auto index : order)
    {
        const auto& target = targets[index];
        if (target.ejected_ && 2 * (ejected_slots + target.slots_) <= all)
        {
            result[index] = true;
            ejected_slots += target.slots_;
        }
    }
    return result;
}

} // namespace anvilturn
