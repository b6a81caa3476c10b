#include <av_limits/retry_after.hpp>

#include <algorithm>

namespace anvilturn
{
namespace
{

// Callers wait for at most a third of the time that they have left.
constexpr double max_retry_after_share = 1.0 / 3.0;
constexpr double min_retry_after_share = 0.1;
// Short compared with the latency objectives of calls.
constexpr milliseconds min_shed_retry_after(30.0);
constexpr milliseconds max_shed_retry_after(120.0);

} // namespace

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
