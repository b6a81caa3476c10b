#include <av_feed/retry_pace.hpp>

#include <algorithm>
#include <cmath>

namespace anvilturn
{

milliseconds retry_pause(int failures,
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
    constexpr int patient_each = 3;
    return failures % patient_each == patient_each - 1 ? patient : usual;
}

} // namespace anvilturn
