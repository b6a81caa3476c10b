#include <av_routing/slow_start.hpp>

#include <algorithm>

namespace anvilturn
{

namespace
{

constexpr double initial_weight = 0.1;

} // namespace

double slow_start_weight(milliseconds age, milliseconds ramp) noexcept
{
    if (ramp.count() <= 0.0)
    {
        return 1.0;
    }
    const double part = std::clamp(age / ramp, 0.0, 1.0);
    return initial_weight + (1.0 - initial_weight) * part;
}

} // namespace anvilturn
