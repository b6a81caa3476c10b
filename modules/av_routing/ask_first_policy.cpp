// The ask_first policy, which sends load queries to a few targets at the moment
// of the choice. It suits services whose targets' machines slow down and
// recover within a fraction of a second, so that a report kept from an earlier
// response is misleading.

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

// Targets with an older report are queried again.
constexpr milliseconds max_report_age(20.0);
// The same for a slowed machine, which stays slow for a while.
constexpr milliseconds max_slowed_report_age(50.0);
// Targets queried at once. If a third of all targets are slowed, one in thirty
// choices queries only slowed ones.
constexpr std::size_t max_load_queries = 3;
// Fraction by which the cost of a target with all slots busy exceeds that of an
// idle one.
constexpr double busy_weight = 0.3;
// Cost of a target whose health check failed, which may be a false alarm.
constexpr double unhealthy_cost = 3.0;
// Ranking cost of a new connection, so that a VM with few calls reuses its
// connections to some targets; one in every exploration_period choices ignores
// it.
constexpr double connection_cost = 0.45;
constexpr std::uint64_t exploration_period = 16;
// Added to the rank of cold targets for load queries, so that warm ones come
// first.
constexpr double cold_rank = 10.0;
// Width of the random part of the ranking for load queries.
constexpr double ranking_noise = 0.6;

bool is_fresh(const target_view& target) noexcept
{
    const auto limit =
        is_slowed(target) ? max_slowed_report_age : max_report_age;
    return target.reported_load_ >= 0 && target.report_age_ <= limit;
}

double load_of(const target_view& target) noexcept
{
    const int known_load =
        std::max(target.local_in_flight_,
                 target.reported_load_ + target.sent_since_report_);
    return is_fresh(target) ? known_load
                            : std::max(target.local_in_flight_, known_load / 2);
}

// Returns the expected time of a call there in units of its typical time, plus
// a penalty for a failed health check.
double cost_of(const target_view& target) noexcept
{
    const double busy = load_of(target) / target.slots_;
    const double unhealthy_penalty =
        target.reports_unhealthy_ ? unhealthy_cost : 0.0;
    const double slow_start_weight = std::max(0.1, target.slow_start_weight_);
    return target.reported_slowdown_ * (1.0 + busy_weight * busy) /
               slow_start_weight +
           unhealthy_penalty;
}

// Returns whether a call can begin there at once without slowing the target
// down.
bool has_capacity(const target_view& target) noexcept
{
    return load_of(target) + 1.0 <= target.best_concurrency_;
}

// Returns whether the call may be sent there as far as the limit of cold
// targets is concerned.
bool is_permitted(const target_view& target) noexcept
{
    return !target.cold_ || target.has_permit_;
}

// Returns whether the call should begin at this target rather than wait for one
// that is not slowed. A slowed target is used if the call can end there before
// its deadline, and either could not any more after one more round of load
// queries, or calls have waited for an unslowed target for as long as this one
// would delay them. So the wait at most doubles the delay, whether the targets
// recover soon or not.
bool is_better_than_waiting(const choice_input& input,
                            const target_view& target) noexcept
{
    if (!is_slowed(target))
    {
        return true;
    }
    const auto time_there = input.work_time_ * target.reported_slowdown_;
    if (time_there > input.time_left_)
    {
        return false;
    }
    const auto delay_there = time_there - input.work_time_;
    const bool is_last_chance =
        input.time_left_ - time_there <= load_query_wait_limit;
    return is_last_chance || input.unslowed_awaited_for_ >= delay_there;
}

// Returns whether the target's load is known well enough for a choice: by a
// recent report, or by any estimate if queries are not allowed.
bool is_load_known(const choice_input& input,
                   const target_view& target) noexcept
{
    return is_fresh(target) || !input.may_query_;
}

template <typename Usable>
std::optional<std::size_t> lowest_cost_target(const choice_input& input,
                                              Usable usable)
{
    std::optional<std::size_t> best;
    double best_cost = std::numeric_limits<double>::infinity();
    for (std::size_t index = 0; index < input.targets_.size(); ++index)
    {
        const auto& target = input.targets_[index];
        if (!has_room(target) || !is_permitted(target) ||
            !is_load_known(input, target) || !usable(target))
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

bool has_local_target(const choice_input& input) noexcept
{
    return std::any_of(input.targets_.begin(),
                       input.targets_.end(),
                       [](const target_view& target)
                       {
                           return target.same_domain_ && is_permitted(target) &&
                                  has_room(target);
                       });
}

// Returns whether targets of other failure domains are considered. Calls stay
// in the local domain, since traffic between domains is slower and costs more,
// unless no target there can take one, a round of load queries has found none,
// or no time is left for one.
bool may_use_other_domains(const choice_input& input) noexcept
{
    const auto spare_time = input.time_left_ - input.work_time_;
    return input.waited_ >= load_query_wait_limit ||
           spare_time <= load_query_wait_limit || !has_local_target(input);
}

// Returns the best target that is warm or cold, of the local failure domain or
// of any.
std::optional<std::size_t>
best_target(const choice_input& input, bool cold, bool only_local)
{
    return lowest_cost_target(input,
                              [&](const target_view& target)
                              {
                                  return target.cold_ == cold &&
                                         (target.same_domain_ || !only_local) &&
                                         has_capacity(target) &&
                                         is_better_than_waiting(input, target);
                              });
}

// Chooses a target of the local failure domain, or of another one if they may
// be used; in each, a warm target before a cold one with a permit. While load
// reports are awaited, only a warm local target that is neither slowed nor
// unhealthy.
std::optional<std::size_t> choose_by_recent_load(const choice_input& input)
{
    if (input.awaits_load_reports_)
    {
        return lowest_cost_target(input,
                                  [](const target_view& target)
                                  {
                                      return !target.cold_ &&
                                             target.same_domain_ &&
                                             has_capacity(target) &&
                                             !is_slowed(target) &&
                                             !target.reports_unhealthy_;
                                  });
    }
    auto chosen = best_target(input, false, true);
    if (!chosen)
    {
        chosen = best_target(input, true, true);
    }
    if (!chosen && may_use_other_domains(input))
    {
        chosen = best_target(input, false, false);
        if (!chosen)
        {
            chosen = best_target(input, true, false);
        }
    }
    return chosen;
}

// Returns whether a warm target, or a cold one with a permit, of the local
// failure domain or of any, can probably take the call, by whatever is known of
// its load.
bool has_target_for_now(const choice_input& input, bool only_local) noexcept
{
    return std::any_of(input.targets_.begin(),
                       input.targets_.end(),
                       [&](const target_view& target)
                       {
                           return (target.same_domain_ || !only_local) &&
                                  is_permitted(target) && has_room(target) &&
                                  has_capacity(target) &&
                                  is_better_than_waiting(input, target);
                       });
}

std::optional<std::size_t>
best_cold_target_to_request(const choice_input& input, bool same_domain)
{
    std::optional<std::size_t> best;
    double best_rank = std::numeric_limits<double>::infinity();
    auto bits = input.random_;
    for (std::size_t index = 0; index < input.targets_.size(); ++index)
    {
        const auto& target = input.targets_[index];
        bits = mix_bits(bits);
        if (is_permitted(target) || target.same_domain_ != same_domain ||
            !has_room(target) || !has_capacity(target) ||
            !is_better_than_waiting(input, target))
        {
            continue;
        }
        // The random part spreads the requests of many VMs over the targets.
        const double rank =
            cost_of(target) + ranking_noise * unit_interval(bits);
        if (rank < best_rank)
        {
            best = index;
            best_rank = rank;
        }
    }
    return best;
}

// Names a cold target of the local failure domain if no other target there can
// take the call, and one elsewhere if no other target at all can.
std::optional<std::size_t> choose_cold_target(const choice_input& input)
{
    if (has_target_for_now(input, true))
    {
        return std::nullopt;
    }
    const auto local = best_cold_target_to_request(input, true);
    if (local || has_target_for_now(input, false) ||
        !may_use_other_domains(input))
    {
        return local;
    }
    return best_cold_target_to_request(input, false);
}

struct ranked_target
{
    std::size_t index_ = 0;
    double rank_ = 0.0;
};

// Ranks the targets without a recent report by their estimated load and health,
// the cost of a connection and a random part.
std::vector<ranked_target> rank_query_candidates(const choice_input& input,
                                                 bool same_domain)
{
    std::vector<ranked_target> result;
    auto bits = input.random_;
    const bool explores = input.random_ % exploration_period == 0;
    const auto typical = typical_load_from_other_vms(input.targets_);
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
            estimated_load(target, typical) / effective_slots(target);
        const double unhealthy_penalty =
            target.reports_unhealthy_ ? unhealthy_cost : 0.0;
        const bool avoids_new_connection = !target.has_connection_ && !explores;
        const double connection_penalty =
            avoids_new_connection ? connection_cost : 0.0;
        const double cold_penalty = is_permitted(target) ? 0.0 : cold_rank;
        result.push_back({index,
                          cold_penalty + busy + unhealthy_penalty +
                              connection_penalty +
                              ranking_noise * unit_interval(bits)});
    }
    std::sort(result.begin(),
              result.end(),
              [](const ranked_target& a, const ranked_target& b)
              {
                  return a.rank_ < b.rank_;
              });
    return result;
}

// Selects targets of the local failure domain; those of others once all local
// ones were queried and other domains may be used. If the local ones that were
// not queried are all cold and without a permit, one of them is selected beside
// those of others, so that calls don't wait until all cold ones were queried.
std::vector<std::size_t> targets_to_query(const choice_input& input)
{
    auto ranked = rank_query_candidates(input, true);
    const bool has_permitted =
        !ranked.empty() && is_permitted(input.targets_[ranked[0].index_]);
    if (!has_permitted && may_use_other_domains(input))
    {
        const auto others = rank_query_candidates(input, false);
        const auto kept = std::min<std::size_t>(
            ranked.size(), others.empty() ? max_load_queries : 1);
        ranked.resize(kept);
        ranked.insert(ranked.end(), others.begin(), others.end());
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
        "queries the load of a few targets at the moment of the choice";
    policy.choose_ = choose_by_recent_load;
    policy.select_load_queries_ = targets_to_query;
    policy.choose_cold_target_ = choose_cold_target;
    return policy;
}

const plugin_registration<choice_policy> ask_first_policy(ask_first());

} // namespace
} // namespace anvilturn
