#include <av_proxy/outlier_check.hpp>

#include <av_routing/outlier.hpp>

#include <algorithm>
#include <cassert>

namespace anvilturn
{
namespace
{

constexpr auto relaxed = std::memory_order_relaxed;
// Answers of a target before its latency is compared with others.
constexpr int min_responses = 5;

bool is_target_ejected(const target_entry& target, milliseconds now)
{
    return now.count() < target.state_->ejected_until_ms_.load(relaxed);
}

milliseconds comparable_latency(const target_entry& target)
{
    const bool known = target.state_->answers_.load(relaxed) >= min_responses;
    return milliseconds(known ? target.state_->latency_ms_.load(relaxed) : 0.0);
}

} // namespace

void exclude_outliers(std::vector<target_view>& views,
                      const std::vector<target_entry>& targets,
                      milliseconds now)
{
    assert(views.size() == targets.size());
    const auto out = [now](const target_entry& target)
    {
        return is_target_ejected(target, now);
    };
    if (std::none_of(targets.begin(), targets.end(), out))
    {
        return;
    }
    std::vector<ejection_candidate> candidates;
    candidates.reserve(targets.size());
    for (std::size_t i = 0; i < targets.size(); ++i)
    {
        const auto until = targets[i].state_->ejected_until_ms_.load(relaxed);
        candidates.push_back({out(targets[i]),
                              milliseconds(until),
                              views[i].eligible_ ? views[i].slots_ : 0});
    }
    const auto ejected = limit_ejections(candidates);
    for (std::size_t i = 0; i < targets.size(); ++i)
    {
        views[i].eligible_ = views[i].eligible_ && !ejected[i];
    }
}

int eject_stragglers(const std::vector<target_entry>& targets, milliseconds now)
{
    std::vector<milliseconds> latencies;
    for (const auto& target : targets)
    {
        latencies.push_back(comparable_latency(target));
    }
    const auto median = median_latency(latencies);
    int count = 0;
    for (std::size_t i = 0; i < targets.size(); ++i)
    {
        if (!is_target_ejected(targets[i], now) &&
            is_straggler(latencies[i], median))
        {
            auto& state = *targets[i].state_;
            store_outlier(
                state, after_straggler_ejection(outlier_of(state), now), now);
            state.latency_ms_.store(0.0, relaxed);
            ++count;
        }
    }
    return count;
}

} // namespace anvilturn
