#include <av_feed/retry_backoff.hpp>

#include <algorithm>
#include <cmath>

namespace anvilturn
{

milliseconds retry_backoff(int failures,
                           milliseconds initial,
                           milliseconds limit,
                           double random) noexcept
{
    constexpr int max_doublings = 6;
    const auto backoff =
        initial * std::ldexp(1.0, std::clamp(failures - 1, 0, max_doublings));
    return std::min(backoff, limit) * (0.5 + random);
}

milliseconds check_timeout(int failures) noexcept
{
    constexpr milliseconds short_timeout(400.0);
    constexpr milliseconds long_timeout(1500.0);
    constexpr int long_timeout_period = 3;
    return failures % long_timeout_period == long_timeout_period - 1
               ? long_timeout
               : short_timeout;
}

} // namespace anvilturn
