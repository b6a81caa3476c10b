#ifndef AV_LIMITS_RETRY_AFTER_HPP
#define AV_LIMITS_RETRY_AFTER_HPP

#include <av_core/milliseconds.hpp>

namespace anvilturn
{

// Returns the value of Retry-After for a call that was refused because no
// target had room: a random delay within the part of the time left that callers
// are willing to wait, so that calls refused together are not retried together.
// Random is in 0 to 1.
milliseconds retry_after_delay(milliseconds time_left, double random) noexcept;

// Returns the value of Retry-After for a call that targets refused though they
// had room, when no extra attempt was left: short, since the next attempt is as
// likely to be served as any other, and random, so that calls refused together
// are not retried together.
milliseconds shed_retry_after_delay(milliseconds time_left,
                                    double random) noexcept;

// Value of Retry-After where another VM can take the call at once; also the
// minimum of the delays above.
constexpr milliseconds immediate_retry_after{20.0};

} // namespace anvilturn

#endif
