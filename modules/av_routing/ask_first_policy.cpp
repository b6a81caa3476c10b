// The policy that asks a few targets for their load at the moment of the
// choice. It suits services whose targets' machines slow down and recover
// within a fraction of a second, so that any report kept from an earlier
// answer misleads.

#include <av_routing/choice_policy.hpp>
#include <av_routing/load_estimate.hpp>
#include <av_routing/random_bits.hpp>

#include <algorithm>
#include <limits>
#include <optional>

namespace anvilturn
{
namespace
{

// Reports that are older are asked for anew.
constexpr milliseconds max_report_age(20.0);
// A slowed machine is not looked at again before this time, since it stays
// slow for a while.
constexpr milliseconds max_slowed_report_age(50.0);
// Targets asked at once: with a third of them slowed, one in thirty choices
// finds none that is not.
constexpr std::size_t max_load_queries = 3;
// Part of a call's patience after which other failure domains are asked.
constexpr double local_domain_wait_share = 0.25;
// Cost of a target's last slot relative to an idle target.
constexpr double busy_weight = 0.3;
// Cost of a target whose health check failed, which may be a false alarm.
constexpr double unhealthy_cost = 3.0;
// Cost of a new connection in the order in which targets are asked, so that a
// VM with few calls keeps to some targets; one in so many choices looks
// further.
constexpr double connection_cost = 0.45;
constexpr std::uint64_t exploration_period = 16;
// Width of the random part of the order in which targets are asked.
constexpr double ranking_noise = 0.6;

bool is_fresh(const target_view& target) noexcept
{
    const auto limit =
        is_slowed(target) ? max_slowed_report_age : max_report_age;
    return target.reported_load_ >= 0 && target.report_age_ <= limit;
}

double load_of(const target_view& target) noexcept
{
    const int seen =
        std::max(target.local_in_flight_,
                 target.reported_load_ + target.sent_since_report_);
    return is_fresh(target) ? seen
                            : std::max(target.local_in_flight_, seen / 2);
}

// Returns the expected time of a call there, in units of its usual time.
double cost_of(const target_view& target) noexcept
{
    const double busy = load_of(target) / target.slots_;
    const double alarm = target.reports_unhealthy_ ? unhealthy_cost : 0.0;
    const double slow_start_weight = std::max(0.1, target.slow_start_weight_);
    return target.reported_slowdown_ * (1.0 + busy_weight * busy) /
               slow_start_weight +
           alarm;
}

// Whether a call can begin there at once without slowing the target down.
bool has_capacity(const target_view& target) noexcept
{
    return load_of(target) + 1.0 <= target.best_concurrency_;
}

// Whether a call is expected to meet its objective there.
bool meets_objective(const choice_input& input,
                     const target_view& target) noexcept
{
    return !is_slowed(target) ||
           input.typical_time_ * target.reported_slowdown_ <=
               input.objective_left_;
}

// Whether what is known of the target is good enough for a choice.
bool is_known(const choice_input& input, const target_view& target) noexcept
{
    return is_fresh(target) || !input.may_query_;
}

template <typename Usable>
std::optional<std::size_t> cheapest(const choice_input& input, Usable usable)
{
    std::optional<std::size_t> best;
    double best_cost = std::numeric_limits<double>::infinity();
    for (std::size_t index = 0; index < input.targets_.size(); ++index)
    {
        const auto& target = input.targets_[index];
        if (!has_room(target) || !is_known(input, target) || !usable(target))
        {
            continue;
        }
        const double cost = cost_of(target);
        if (cost < best_cost)
        {
            best = index;
            best_cost = cost;
        }
    }
    return best;
}

bool may_use_other_domains(const choice_input& input) noexcept
{
    return input.wait_limit_spent_ >= local_domain_wait_share;
}

bool is_wait_limit_reached(const choice_input& input) noexcept
{
    return input.wait_limit_spent_ >= 1.0;
}

// Chooses a target of the own failure domain that serves the call in time;
// then, once part of the call's patience is spent, one of another domain; and
// before the call is refused, a slowed one.
std::optional<std::size_t> choose_by_recent_load(const choice_input& input)
{
    const bool waits = input.awaits_load_reports_;
    auto chosen =
        cheapest(input,
                 [&](const target_view& target)
                 {
                     const bool good = waits ? !is_slowed(target) &&
                                                   !target.reports_unhealthy_
                                             : meets_objective(input, target);
                     return target.same_domain_ && has_capacity(target) && good;
                 });
    if (chosen || waits)
    {
        return chosen;
    }
    if (may_use_other_domains(input))
    {
        chosen = cheapest(input,
                          [&](const target_view& target)
                          {
                              return has_capacity(target) &&
                                     meets_objective(input, target);
                          });
    }
    if (!chosen && is_wait_limit_reached(input))
    {
        chosen = cheapest(input, has_capacity);
    }
    return chosen;
}

struct ranked_target
{
    std::size_t index_ = 0;
    double rank_ = 0.0;
};

// Ranks by the load that is known, however old, and by chance.
std::vector<ranked_target> rank_query_candidates(const choice_input& input,
                                                 bool same_domain)
{
    std::vector<ranked_target> result;
    auto bits = input.random_;
    const bool explores = input.random_ % exploration_period == 0;
    const auto usual = typical_load_from_other_vms(input.targets_);
    for (std::size_t index = 0; index < input.targets_.size(); ++index)
    {
        const auto& target = input.targets_[index];
        bits = mix_bits(bits);
        if (!has_room(target) || is_fresh(target) ||
            target.same_domain_ != same_domain)
        {
            continue;
        }
        const double busy =
            estimated_load(target, usual) / effective_slots(target);
        const double alarm = target.reports_unhealthy_ ? unhealthy_cost : 0.0;
        const bool keeps = !target.has_connection_ && !explores;
        const double connect = keeps ? connection_cost : 0.0;
        result.push_back(
            {index,
             busy + alarm + connect + ranking_noise * unit_interval(bits)});
    }
    std::sort(result.begin(),
              result.end(),
              [](const ranked_target& a, const ranked_target& b)
              {
                  return a.rank_ < b.rank_;
              });
    return result;
}

// Asks the own failure domain first, and others once all of its own were asked
// and part of the call's patience is spent.
std::vector<std::size_t> targets_to_query(const choice_input& input)
{
    auto ranked = rank_query_candidates(input, true);
    if (ranked.empty() && may_use_other_domains(input))
    {
        ranked = rank_query_candidates(input, false);
    }
    std::vector<std::size_t> result;
    for (const auto& target : ranked)
    {
        if (result.size() == max_load_queries)
        {
            break;
        }
        result.push_back(target.index_);
    }
    return result;
}

choice_policy ask_first()
{
    choice_policy policy;
    policy.name_ = "ask_first";
    policy.description_ =
        "asks a few targets for their load at the moment of the choice";
    policy.choose_ = choose_by_recent_load;
    policy.select_load_queries_ = targets_to_query;
    return policy;
}

const plugin_registration<choice_policy> ask_first_policy(ask_first());

} // namespace
} // namespace anvilturn
