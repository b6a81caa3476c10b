#ifndef AV_FEED_RETRY_BACKOFF_HPP
#define AV_FEED_RETRY_BACKOFF_HPP

#include <av_core/milliseconds.hpp>

namespace anvilturn
{

// Returns the pause before the store is asked for a sign of life again, after
// so many failures in a row: exponential from the first one, with a limit.
// Random is in 0 to 1 and keeps VMs that failed together apart.
milliseconds retry_backoff(int failures,
                           milliseconds first,
                           milliseconds longest,
                           double random) noexcept;

// Returns the time limit of the next such call: short, since a VM must know
// soon that the store is back, but for each third call, which a slow store can
// answer.
milliseconds check_timeout(int failures) noexcept;

} // namespace anvilturn

#endif
