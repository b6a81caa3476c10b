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
constexpr double herd_noise = 0.15;
// Added cost of a target of another failure domain, in calls per slot.
constexpr double other_domain_cost = 0.1;
// Time by which the wait for a slot must be shorter in another failure domain
// before a call is sent there.
constexpr milliseconds spill_after(1.0);
// Wait from which targets get one call beyond their slots, so that no slot is
// idle while a response and the next call are in transit.
constexpr milliseconds overfill_after(2.0);
constexpr double overfill_calls = 1.0;

template <typename Usable, typename Cost>
std::optional<std::size_t>
choose_least(const choice_input& input, Usable usable, Cost cost)
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
    const auto usual = usual_foreign_load(input.targets_);
    return choose_least(
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
            return busy + distance + herd_noise * noise;
        });
}

double busy_share(const target_view& target,
                  const usual_load& usual,
                  double noise) noexcept
{
    return (estimated_load(target, usual) + 0.5 * noise) /
           effective_slots(target);
}

// Capacity of this VM's failure domain for a service.
struct own_domain
{
    double slots_ = 0.0;
    // Mean time of a call; zero before the first response.
    milliseconds latency_{0.0};
};

own_domain sum_own_domain(const std::vector<target_view>& targets) noexcept
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

// Returns how long the last waiting call will wait for a slot of the local
// failure domain.
milliseconds wait_here(const choice_input& input) noexcept
{
    const auto own = sum_own_domain(input.targets_);
    if (own.slots_ <= 0.0)
    {
        return milliseconds(std::numeric_limits<double>::infinity());
    }
    const auto waiting = static_cast<double>(input.waiting_calls_);
    return own.latency_ * (waiting / own.slots_);
}

// Returns how long one more call would wait at the target for a slot.
milliseconds wait_at(const target_view& target,
                     const usual_load& usual) noexcept
{
    const double slots = effective_slots(target);
    const double queued = estimated_load(target, usual) + 1.0 - slots;
    return target.latency_ * (std::max(0.0, queued) / slots);
}

// Chooses in order of rising cost: a free slot of the local failure domain; a
// target of another domain where the wait is shorter than here; one call beyond
// the slots of a local target.
std::optional<std::size_t> choose_home_dispatch(const choice_input& input)
{
    const auto usual = usual_foreign_load(input.targets_);
    const auto wait = wait_here(input);
    // Calls that other domains spilled to this one don't count; otherwise two
    // domains could settle into using each other's targets.
    const auto has_own_slot = [](const target_view& target)
    {
        return target.same_domain_ &&
               target.own_in_flight_ + 1.0 <= effective_slots(target);
    };
    const auto waits_less = [&](const target_view& target)
    {
        return !target.same_domain_ &&
               target.own_in_flight_ < effective_slots(target) &&
               wait_at(target, usual) + spill_after <= wait;
    };
    const auto takes_one_more = [&](const target_view& target)
    {
        return target.same_domain_ &&
               estimated_load(target, usual) <
                   effective_slots(target) + overfill_calls;
    };
    const auto cost = [&](const target_view& target, double noise)
    {
        return busy_share(target, usual, noise);
    };
    auto chosen = choose_least(input, has_own_slot, cost);
    if (!chosen && wait >= spill_after)
    {
        chosen = choose_least(input, waits_less, cost);
    }
    if (!chosen && wait >= overfill_after)
    {
        chosen = choose_least(input, takes_one_more, cost);
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
