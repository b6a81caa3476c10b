#ifndef AV_FEED_RETRY_PACE_HPP
#define AV_FEED_RETRY_PACE_HPP

#include <av_core/milliseconds.hpp>

namespace anvilturn
{

// Returns the pause before a call to the store is tried again, after so many
// failures in a row: exponential with a limit. Random is in 0 to 1 and keeps
// VMs that failed together apart.
milliseconds retry_pause(int failures, double random) noexcept;

} // namespace anvilturn

#endif
