#include <av_limits/patience.hpp>

#include <algorithm>

namespace anvilturn
{
namespace
{

// Minimum wait as a fraction of the latency objective.
constexpr double least_wait_share = 0.125;
// Fraction of its remaining time that a late call waits before it is refused
// with Retry-After.
constexpr double late_wait_share = 0.3;
// Deadlines that differ by less than this fraction count as those of first
// attempts.
constexpr double same_deadline_share = 0.03;
// Callers wait for at most a third of the time that they have left.
constexpr double longest_delay_share = 1.0 / 3.0;
constexpr double shortest_delay_share = 0.1;
// Short compared with the latency objectives of calls.
constexpr milliseconds shortest_return(30.0);
constexpr milliseconds longest_return(120.0);

} // namespace

milliseconds time_spent_before(milliseconds longest_deadline,
                               milliseconds deadline) noexcept
{
    const auto spent = longest_deadline - deadline;
    const bool is_first = spent <= longest_deadline * same_deadline_share;
    return is_first ? milliseconds(0.0) : spent;
}

milliseconds give_up_point(const wait_facts& facts) noexcept
{
    const auto latest = facts.deadline_ - facts.usual_time_;
    if (facts.objective_.count() <= 0.0)
    {
        return latest;
    }
    const auto in_time = facts.arrived_ - facts.spent_before_ +
                         facts.objective_ - facts.usual_time_;
    const auto spent_here = facts.began_ - facts.arrived_;
    const bool came_back_late =
        facts.spent_before_.count() > 0.0 && in_time <= facts.arrived_;
    if (came_back_late || spent_here >= facts.objective_)
    {
        const auto left = facts.deadline_ - facts.began_;
        return std::min(latest, facts.began_ + left * late_wait_share);
    }
    const auto least = facts.began_ + facts.objective_ * least_wait_share;
    return std::min(latest, std::max(in_time, least));
}

milliseconds delay_before_return(milliseconds time_left, double random) noexcept
{
    const double share = shortest_delay_share +
                         (longest_delay_share - shortest_delay_share) * random;
    return std::max(return_at_once, time_left * share);
}

milliseconds delay_after_shedding(milliseconds time_left,
                                  double random) noexcept
{
    const auto delay =
        shortest_return + (longest_return - shortest_return) * random;
    return std::max(return_at_once,
                    std::min(delay, time_left * longest_delay_share));
}

} // namespace anvilturn
