#include <av_feed/retry_backoff.hpp>

#include <algorithm>
#include <cmath>

namespace anvilturn
{

milliseconds retry_backoff(int failures,
                           milliseconds first,
                           milliseconds longest,
                           double random) noexcept
{
    constexpr int most_doublings = 6;
    const auto pause =
        first * std::ldexp(1.0, std::clamp(failures - 1, 0, most_doublings));
    return std::min(pause, longest) * (0.5 + random);
}

milliseconds check_timeout(int failures) noexcept
{
    constexpr milliseconds usual(400.0);
    constexpr milliseconds patient(1500.0);
    constexpr int long_timeout_period = 3;
    return failures % long_timeout_period == long_timeout_period - 1 ? patient
                                                                     : usual;
}

} // namespace anvilturn
