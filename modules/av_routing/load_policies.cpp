// The policies that use load reports: least_load on each VM by itself, and
// home_dispatch on the dispatcher VM, which sees all calls of its failure
// domain.

#include <av_routing/choice_policy.hpp>
#include <av_routing/load_estimate.hpp>
#include <av_routing/random_bits.hpp>

#include <algorithm>
#include <limits>

namespace anvilturn
{

namespace
{

// Width of the random part of a score, in calls per slot. It keeps VMs that got
// the same report of an idle target from all choosing that target (herding).
constexpr double anti_herding_noise = 0.15;
// Added cost of a target of another failure domain, in calls per slot.
constexpr double other_domain_cost = 0.1;
// Time by which the wait for a slot must be shorter in another failure domain
// before a call is sent there.
constexpr milliseconds spill_wait_threshold(1.0);
// Wait from which targets get one call beyond their slots, so that no slot is
// idle while a response and the next call are in transit.
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
        const double target_cost = cost(target, unit_interval(bits));
        if (target_cost < best_cost)
        {
            best = index;
            best_cost = target_cost;
        }
    }
    return best;
}

std::optional<std::size_t> choose_least_load(const choice_input& input)
{
    const auto typical = typical_load_from_other_vms(input.targets_);
    return choose_lowest_cost(
        input,
        [](const target_view&)
        {
            return true;
        },
        [&typical](const target_view& target, double noise)
        {
            const double busy =
                estimated_load(target, typical) / effective_slots(target);
            const double domain_cost =
                target.same_domain_ ? 0.0 : other_domain_cost;
            return busy + domain_cost + anti_herding_noise * noise;
        });
}

double utilization(const target_view& target,
                   const typical_load& typical,
                   double noise) noexcept
{
    return (estimated_load(target, typical) + 0.5 * noise) /
           effective_slots(target);
}

// Capacity of this VM's failure domain for a service.
struct local_domain_capacity
{
    double slots_ = 0.0;
    // Mean time of a call; zero before the first response.
    milliseconds latency_{0.0};
};

local_domain_capacity
sum_local_domain(const std::vector<target_view>& targets) noexcept
{
    local_domain_capacity result;
    double latency_sum = 0.0;
    int measured_targets = 0;
    for (const auto& target : targets)
    {
        if (target.eligible_ && target.same_domain_)
        {
            result.slots_ += effective_slots(target);
            latency_sum += target.latency_.count();
            measured_targets += target.latency_.count() > 0.0 ? 1 : 0;
        }
    }
    result.latency_ = milliseconds(
        measured_targets == 0 ? 0.0 : latency_sum / measured_targets);
    return result;
}

// Returns how long the last waiting call will wait for a slot of the local
// failure domain.
milliseconds local_domain_wait(const choice_input& input) noexcept
{
    const auto domain = sum_local_domain(input.targets_);
    if (domain.slots_ <= 0.0)
    {
        return milliseconds(std::numeric_limits<double>::infinity());
    }
    const auto waiting = static_cast<double>(input.waiting_calls_);
    return domain.latency_ * (waiting / domain.slots_);
}

// Returns how long one more call would wait at the target for a slot.
milliseconds target_wait(const target_view& target,
                         const typical_load& typical) noexcept
{
    const double slots = effective_slots(target);
    const double queued = estimated_load(target, typical) + 1.0 - slots;
    return target.latency_ * (std::max(0.0, queued) / slots);
}

// Chooses in order of rising cost: a free slot of the local failure domain; a
// target of another domain where the wait is shorter than here; one call beyond
// the slots of a local target.
std::optional<std::size_t> choose_home_dispatch(const choice_input& input)
{
    const auto typical = typical_load_from_other_vms(input.targets_);
    const auto wait = local_domain_wait(input);
    // Calls that other domains spilled to this one don't count; otherwise two
    // domains could settle into using each other's targets.
    const auto has_local_slot = [](const target_view& target)
    {
        return target.same_domain_ &&
               target.local_in_flight_ + 1.0 <= effective_slots(target);
    };
    const auto has_shorter_wait = [&](const target_view& target)
    {
        return !target.same_domain_ &&
               target.local_in_flight_ < effective_slots(target) &&
               target_wait(target, typical) + spill_wait_threshold <= wait;
    };
    const auto allows_overfill = [&](const target_view& target)
    {
        return target.same_domain_ &&
               estimated_load(target, typical) <
                   effective_slots(target) + overfill_calls;
    };
    const auto cost = [&](const target_view& target, double noise)
    {
        return utilization(target, typical, noise);
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
     "lowest load by reports and calls sent since, on each VM by itself",
     choose_least_load});
const plugin_registration<choice_policy> home_dispatch_policy(
    {"home_dispatch",
     "a dispatcher VM of each failure domain sends the service's calls",
     choose_home_dispatch,
     true});

} // namespace

} // namespace anvilturn
