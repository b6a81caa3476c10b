#include <av_feed/retry_pace.hpp>

#include <algorithm>
#include <cmath>

namespace anvilturn
{

milliseconds retry_pause(int failures, double random) noexcept
{
    constexpr milliseconds first(100.0);
    // Low, since a VM must learn of changes soon after an outage.
    constexpr milliseconds longest(1000.0);
    constexpr int most_doublings = 6;
    const auto pause =
        first * std::ldexp(1.0, std::clamp(failures - 1, 0, most_doublings));
    return std::min(pause, longest) * (0.5 + random);
}

} // namespace anvilturn
