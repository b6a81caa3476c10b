#ifndef AV_FEED_RETRY_BACKOFF_HPP
#define AV_FEED_RETRY_BACKOFF_HPP

#include <av_core/milliseconds.hpp>

namespace anvilturn
{

// Returns the time to wait before the next check of the store after so many
// consecutive failures: exponential from the initial backoff up to a limit,
// times 0.5 to 1.5. The random number is in 0 to 1 and separates the calls of
// VMs whose calls failed at the same time.
milliseconds retry_backoff(int failures,
                           milliseconds initial,
                           milliseconds limit,
                           double random) noexcept;

// Returns the time limit of the next check after so many consecutive failures.
// It is short, so that a VM soon detects that the store has recovered, except
// for every third check, which gives a slow store the time to answer.
milliseconds check_timeout(int failures) noexcept;

} // namespace anvilturn

#endif
