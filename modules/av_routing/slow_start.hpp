#ifndef AV_ROUTING_SLOW_START_HPP
#define AV_ROUTING_SLOW_START_HPP

#include <av_core/milliseconds.hpp>

namespace anvilturn
{

// Returns the weight of a target in slow start: it grows evenly from a tenth
// to one over the ramp. Age is the time since the target was added, or since
// it came back from an ejection or from being out of reach.
double slow_start_weight(milliseconds age, milliseconds ramp) noexcept;

} // namespace anvilturn

#endif
