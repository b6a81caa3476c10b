#ifndef AV_ROUTING_SLOW_START_HPP
#define AV_ROUTING_SLOW_START_HPP

#include <av_core/milliseconds.hpp>

namespace anvilturn
{

// Returns the weight of a target in slow start: it grows linearly from a tenth
// to one over the ramp-up time. Age is the time since the target was added, or
// since it returned from an ejection or became reachable again.
double slow_start_weight(milliseconds age, milliseconds ramp_up_time) noexcept;

} // namespace anvilturn

#endif
