#ifndef AV_CORE_MONOTONIC_CLOCK_HPP
#define AV_CORE_MONOTONIC_CLOCK_HPP

#include <av_core/milliseconds.hpp>

namespace anvilturn
{

// Returns the time since the machine started, in milliseconds. It never
// decreases and includes time during which the machine is suspended, so that a
// process which was paused finds its leases expired. Called only by code that
// does I/O; decision functions take the time as an argument.
milliseconds monotonic_now() noexcept;

// Returns the wall-clock time in milliseconds since 1970, for timestamps such
// as those of log lines. Use monotonic_now to measure durations and for
// decisions.
milliseconds wall_clock_now() noexcept;

} // namespace anvilturn

#endif
