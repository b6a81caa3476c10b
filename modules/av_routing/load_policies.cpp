// The policies that use load reports: least_load on each VM by itself, and
// home_dispatch on the VM that sees all calls of its failure domain.

#include <av_routing/choice_policy.hpp>
#include <av_routing/load_estimate.hpp>
#include <av_routing/random_bits.hpp>

#include <algorithm>
#include <limits>

namespace anvilturn
{

namespace
{

// Width of the random part of a score in calls for each slot. It spreads
// choices of VMs that were told the same of an idle target.
constexpr double anti_herding_noise = 0.15;
// What a target of another failure domain must be better by.
constexpr double other_domain_cost = 0.1;
// Time by which the wait for a slot must be shorter in another failure domain
// before a call is sent there.
constexpr milliseconds spill_wait_threshold(1.0);
// Wait from which targets get one call beyond their slots, so that no slot is
// idle while an answer and the next call are on their way.
constexpr milliseconds overfill_wait_threshold(2.0);
constexpr double overfill_calls = 1.0;

template <typename Usable, typename Cost>
std::optional<std::size_t>
choose_lowest_cost(const choice_input& input, Usable usable, Cost cost)
{
    std::optional<std::size_t> best;
    double best_cost = std::numeric_limits<double>::infinity();
    auto bits = input.random_;
    for (std::size_t index = 0; index < input.targets_.size(); ++index)
    {
        const auto& target = input.targets_[index];
        bits = mix_bits(bits);
        if (!has_room(target) || !usable(target))
        {
            continue;
        }
        const double here = cost(target, unit_interval(bits));
        if (here < best_cost)
        {
            best = index;
            best_cost = here;
        }
    }
    return best;
}

std::optional<std::size_t> choose_least_load(const choice_input& input)
{
    const auto usual = typical_load_from_other_vms(input.targets_);
    return choose_lowest_cost(
        input,
        [](const target_view&)
        {
            return true;
        },
        [&usual](const target_view& target, double noise)
        {
            const double busy =
                estimated_load(target, usual) / effective_slots(target);
            const double distance =
                target.same_domain_ ? 0.0 : other_domain_cost;
            return busy + distance + anti_herding_noise * noise;
        });
}

double utilization(const target_view& target,
                   const typical_load& usual,
                   double noise) noexcept
{
    return (estimated_load(target, usual) + 0.5 * noise) /
           effective_slots(target);
}

// What the failure domain of this VM offers to a service.
struct own_domain
{
    double slots_ = 0.0;
    // Mean time of a call; zero before the first answer.
    milliseconds latency_{0.0};
};

own_domain sum_local_domain(const std::vector<target_view>& targets) noexcept
{
    own_domain result;
    double latency_sum = 0.0;
    int seen = 0;
    for (const auto& target : targets)
    {
        if (target.eligible_ && target.same_domain_)
        {
            result.slots_ += effective_slots(target);
            latency_sum += target.latency_.count();
            seen += target.latency_.count() > 0.0 ? 1 : 0;
        }
    }
    result.latency_ = milliseconds(seen == 0 ? 0.0 : latency_sum / seen);
    return result;
}

// Returns how long the last waiting call will wait here for a slot of the own
// domain.
milliseconds local_domain_wait(const choice_input& input) noexcept
{
    const auto own = sum_local_domain(input.targets_);
    if (own.slots_ <= 0.0)
    {
        return milliseconds(std::numeric_limits<double>::infinity());
    }
    const auto waiting = static_cast<double>(input.waiting_calls_);
    return own.latency_ * (waiting / own.slots_);
}

// Returns how long one more call would wait at the target for a slot.
milliseconds target_wait(const target_view& target,
                         const typical_load& usual) noexcept
{
    const double slots = effective_slots(target);
    const double queued = estimated_load(target, usual) + 1.0 - slots;
    return target.latency_ * (std::max(0.0, queued) / slots);
}

// Chooses by rising cost: a free slot of the own domain; a target of another
// domain where the wait is shorter than here; one call beyond the slots of an
// own target.
std::optional<std::size_t> choose_home_dispatch(const choice_input& input)
{
    const auto usual = typical_load_from_other_vms(input.targets_);
    const auto wait = local_domain_wait(input);
    // Calls that other domains spilled here don't count: else two domains
    // could settle at using each other's targets.
    const auto has_local_slot = [](const target_view& target)
    {
        return target.same_domain_ &&
               target.local_in_flight_ + 1.0 <= effective_slots(target);
    };
    const auto has_shorter_wait = [&](const target_view& target)
    {
        return !target.same_domain_ &&
               target.local_in_flight_ < effective_slots(target) &&
               target_wait(target, usual) + spill_wait_threshold <= wait;
    };
    const auto allows_overfill = [&](const target_view& target)
    {
        return target.same_domain_ &&
               estimated_load(target, usual) <
                   effective_slots(target) + overfill_calls;
    };
    const auto cost = [&](const target_view& target, double noise)
    {
        return utilization(target, usual, noise);
    };
    auto chosen = choose_lowest_cost(input, has_local_slot, cost);
    if (!chosen && wait >= spill_wait_threshold)
    {
        chosen = choose_lowest_cost(input, has_shorter_wait, cost);
    }
    if (!chosen && wait >= overfill_wait_threshold)
    {
        chosen = choose_lowest_cost(input, allows_overfill, cost);
    }
    return chosen;
}

const plugin_registration<choice_policy> least_load_policy(
    {"least_load",
     "lowest load by reports and own calls since, on each VM by itself",
     choose_least_load});
const plugin_registration<choice_policy> home_dispatch_policy(
    {"home_dispatch",
     "one VM of each failure domain dispatches the service's calls",
     choose_home_dispatch,
     true});

} // namespace

} // namespace anvilturn
