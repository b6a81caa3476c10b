// Baseline policies for comparison with the others. They use no load reports:
// only what this VM observes by itself and, for hot_cold_probing, the results
// of probes.

#include <av_routing/choice_policy.hpp>
#include <av_routing/load_estimate.hpp>
#include <av_routing/random_bits.hpp>

#include <algorithm>
#include <limits>

namespace anvilturn
{

namespace
{

// An older probe result is no longer taken for the target's load.
constexpr milliseconds max_probe_age(1000.0);

std::size_t count_with_room(const std::vector<target_view>& targets)
{
    return static_cast<std::size_t>(
        std::count_if(targets.begin(), targets.end(), has_room));
}

// Returns the index of the nth target with room, counted from zero.
std::size_t nth_with_room(const std::vector<target_view>& targets,
                          std::size_t nth)
{
    std::size_t index = 0;
    for (;; ++index)
    {
        if (!has_room(targets[index]))
        {
            continue;
        }
        if (nth == 0)
        {
            return index;
        }
        --nth;
    }
}

std::optional<std::size_t> choose_random(const choice_input& input)
{
    const auto count = count_with_room(input.targets_);
    if (count == 0)
    {
        return std::nullopt;
    }
    return nth_with_room(input.targets_, random_index(input.random_, count));
}

std::optional<std::size_t> choose_round_robin(const choice_input& input)
{
    const auto size = input.targets_.size();
    for (std::size_t step = 0; step < size; ++step)
    {
        const auto index =
            static_cast<std::size_t>((input.sequence_ % size + step) % size);
        if (has_room(input.targets_[index]))
        {
            return index;
        }
    }
    return std::nullopt;
}

std::optional<std::size_t> choose_two_choices(const choice_input& input)
{
    const auto& targets = input.targets_;
    const auto count = count_with_room(targets);
    if (count == 0)
    {
        return std::nullopt;
    }
    const auto first_rank = random_index(input.random_, count);
    const auto first = nth_with_room(targets, first_rank);
    if (count == 1)
    {
        return first;
    }
    auto second_rank = random_index(mix_bits(input.random_), count - 1);
    second_rank += second_rank >= first_rank ? 1 : 0;
    const auto second = nth_with_room(targets, second_rank);
    return targets[second].local_in_flight_ < targets[first].local_in_flight_
               ? second
               : first;
}

bool is_cold(const target_view& target) noexcept
{
    const bool fresh =
        target.probed_load_ >= 0 && target.probe_age_ <= max_probe_age;
    return !fresh || target.probed_load_ < target.slots_;
}

// Orders targets by the hot-cold rule: a target whose probe showed all slots
// busy is hot, any other is cold. Cold targets come first, by load; then hot
// ones, by latency. The lower rank is preferred.
struct hot_cold_rank
{
    bool hot_ = true;
    double cost_ = std::numeric_limits<double>::infinity();

    bool operator<(const hot_cold_rank& other) const noexcept
    {
        return hot_ != other.hot_ ? !hot_ : cost_ < other.cost_;
    }
};

hot_cold_rank rank_hot_cold(const target_view& target, double noise) noexcept
{
    if (!is_cold(target))
    {
        return {true, target.latency_.count() * (1.0 + noise)};
    }
    return {false,
            std::max(0, target.probed_load_) + target.local_in_flight_ + noise};
}

std::optional<std::size_t> choose_hot_cold(const choice_input& input)
{
    std::optional<std::size_t> best;
    hot_cold_rank best_rank;
    auto bits = input.random_;
    for (std::size_t index = 0; index < input.targets_.size(); ++index)
    {
        bits = mix_bits(bits);
        if (!has_room(input.targets_[index]))
        {
            continue;
        }
        const auto rank =
            rank_hot_cold(input.targets_[index], unit_interval(bits));
        if (!best || rank < best_rank)
        {
            best = index;
            best_rank = rank;
        }
    }
    return best;
}

const plugin_registration<choice_policy>
    random_policy({"random", "uniformly random target", choose_random});
const plugin_registration<choice_policy> round_robin_policy(
    {"round_robin", "the targets in turn", choose_round_robin});
const plugin_registration<choice_policy> two_choices_policy(
    {"two_choices",
     "the one of two random targets with fewer calls of this VM",
     choose_two_choices});
const plugin_registration<choice_policy> hot_cold_policy(
    {"hot_cold_probing",
     "by probe results: least loaded cold target, else lowest latency",
     choose_hot_cold,
     false,
     true});

} // namespace

} // namespace anvilturn
