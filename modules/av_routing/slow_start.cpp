#include <av_routing/slow_start.hpp>

#include <algorithm>

namespace anvilturn
{

namespace
{

constexpr double initial_weight = 0.1;

} // namespace

double slow_start_weight(milliseconds age, milliseconds ramp_up_time) noexcept
{
    if (ramp_up_time.count() <= 0.0)
    {
        return 1.0;
    }
    const double elapsed_share = std::clamp(age / ramp_up_time, 0.0, 1.0);
    return initial_weight + (1.0 - initial_weight) * elapsed_share;
}

} // namespace anvilturn
