#include <av_limits/queue_wait_limit.hpp>

#include <algorithm>

namespace anvilturn
{
namespace
{

// Minimum wait as a fraction of the latency objective.
constexpr double min_wait_share = 0.125;
// Fraction of its remaining time that a call waits which was pending until its
// VM had its configuration for longer than the objective.
constexpr double late_start_wait_share = 0.3;
// Callers wait for at most a third of the time that they have left.
constexpr double max_retry_after_share = 1.0 / 3.0;
constexpr double min_retry_after_share = 0.1;
// Short compared with the latency objectives of calls.
constexpr milliseconds min_shed_retry_after(30.0);
constexpr milliseconds max_shed_retry_after(120.0);

} // namespace

milliseconds queue_wait_deadline(const wait_limit_input& input) noexcept
{
    const auto latest = input.deadline_ - input.typical_time_;
    if (input.latency_objective_.count() <= 0.0)
    {
        return latest;
    }
    const auto objective_wait_end =
        input.arrived_ + input.latency_objective_ - input.typical_time_;
    const auto startup_wait_time = input.began_ - input.arrived_;
    if (startup_wait_time >= input.latency_objective_)
    {
        const auto left = input.deadline_ - input.began_;
        return std::min(latest, input.began_ + left * late_start_wait_share);
    }
    const auto min_wait_end =
        input.began_ + input.latency_objective_ * min_wait_share;
    return std::min(latest, std::max(objective_wait_end, min_wait_end));
}

milliseconds retry_after_delay(milliseconds time_left, double random) noexcept
{
    const double share =
        min_retry_after_share +
        (max_retry_after_share - min_retry_after_share) * random;
    return std::max(immediate_retry_after, time_left * share);
}

milliseconds shed_retry_after_delay(milliseconds time_left,
                                    double random) noexcept
{
    const auto delay = min_shed_retry_after +
                       (max_shed_retry_after - min_shed_retry_after) * random;
    return std::max(immediate_retry_after,
                    std::min(delay, time_left * max_retry_after_share));
}

} // namespace anvilturn
