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
constexpr milliseconds fresh_report_age(20.0);
// Targets asked at once: with a third of them slowed, one in thirty choices
// finds none that is not.
constexpr std::size_t targets_asked = 3;
// A target at least this good is taken without waiting for other answers.
constexpr double good_slowdown = 1.3;
constexpr double good_busy_share = 0.7;
// Part of a slowdown that counts, since it mostly ends before the call does.
constexpr double slowdown_weight = 0.5;
// Cost of a target's last slot relative to an idle target, in calls.
constexpr double busy_weight = 0.5;
// Cost of a target whose health check failed, which may be a false alarm.
constexpr double unhealthy_cost = 3.0;
// Calls that may wait at a target when no slot is free anywhere.
constexpr double queued_at_target = 1.0;
// Width of the random part of the order in which targets are asked.
constexpr double order_noise = 0.6;

bool is_fresh(const target_view& target) noexcept
{
    return target.reported_load_ >= 0 && target.report_age_ <= fresh_report_age;
}

double load_of(const target_view& target) noexcept
{
    const int seen =
        std::max(target.own_in_flight_,
                 target.reported_load_ + target.sent_since_report_);
    return is_fresh(target) ? seen : std::max(target.own_in_flight_, seen / 2);
}

bool has_free_slot(const target_view& target) noexcept
{
    return load_of(target) + 1.0 <= target.slots_;
}

// Returns the expected time of a call there, in units of its usual time.
double cost_of(const target_view& target) noexcept
{
    const double busy = load_of(target) / target.slots_;
    const double queued =
        std::max(0.0, load_of(target) + 1.0 - target.slots_) / target.slots_;
    const double slowdown =
        1.0 + slowdown_weight * (target.reported_slowdown_ - 1.0);
    const double alarm = target.says_unhealthy_ ? unhealthy_cost : 0.0;
    const double warmth = std::max(0.1, target.warmth_);
    return slowdown * (1.0 + busy_weight * busy + queued) / warmth + alarm;
}

bool is_good(const target_view& target) noexcept
{
    return target.reported_slowdown_ <= good_slowdown &&
           load_of(target) <= good_busy_share * target.slots_ &&
           !target.says_unhealthy_ && target.warmth_ >= 1.0;
}

// Whether what is known of the target is good enough for a choice.
bool is_known(const choice_input& input, const target_view& target) noexcept
{
    return is_fresh(target) || !input.may_ask_;
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

bool may_queue_at(const target_view& target) noexcept
{
    return load_of(target) < target.slots_ + queued_at_target;
}

std::optional<std::size_t> choose_asked(const choice_input& input)
{
    const auto own = cheapest(input,
                              [](const target_view& target)
                              {
                                  return target.same_domain_ &&
                                         has_free_slot(target);
                              });
    if (input.awaits_answers_)
    {
        return own && is_good(input.targets_[*own]) ? own : std::nullopt;
    }
    if (own)
    {
        return own;
    }
    const auto other = cheapest(input, has_free_slot);
    return other ? other : cheapest(input, may_queue_at);
}

struct ranked_target
{
    std::size_t index_ = 0;
    double rank_ = 0.0;
};

// Ranks by the load that is known, however old, and by chance.
std::vector<ranked_target> rank_unasked(const choice_input& input,
                                        bool same_domain)
{
    std::vector<ranked_target> result;
    auto bits = input.random_;
    const auto usual = usual_foreign_load(input.targets_);
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
        const double alarm = target.says_unhealthy_ ? unhealthy_cost : 0.0;
        result.push_back(
            {index, busy + alarm + order_noise * unit_interval(bits)});
    }
    std::sort(result.begin(),
              result.end(),
              [](const ranked_target& a, const ranked_target& b)
              {
                  return a.rank_ < b.rank_;
              });
    return result;
}

// Asks the own failure domain first, and others once no target of its own that
// was asked has a slot.
std::vector<std::size_t> whom_to_ask(const choice_input& input)
{
    auto ranked = rank_unasked(input, true);
    if (ranked.empty())
    {
        ranked = rank_unasked(input, false);
    }
    std::vector<std::size_t> result;
    for (const auto& target : ranked)
    {
        if (result.size() == targets_asked)
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
    policy.choose_ = choose_asked;
    policy.ask_ = whom_to_ask;
    return policy;
}

const plugin_registration<choice_policy> ask_first_policy(ask_first());

} // namespace
} // namespace anvilturn
