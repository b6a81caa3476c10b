#ifndef AV_LIMITS_RETRY_AFTER_HPP
#define AV_LIMITS_RETRY_AFTER_HPP

#include <av_core/milliseconds.hpp>

#include <optional>

namespace anvilturn
{

// What the value of Retry-After for a refused call follows from.
struct retry_after_input
{
    // Time until the caller's deadline.
    milliseconds time_left_{0.0};
    // When room for the call is expected: the time that the calls ahead of it
    // take. Nothing if it is not known.
    std::optional<milliseconds> expected_wait_;
    // Uniformly distributed in 0 to 1.
    double random_ = 0.0;
};

// Returns the value of Retry-After for a call that found no room. The caller
// returns when room is expected, or as late as callers are willing to wait if
// that is earlier or not known. The value is in the upper half of that time and
// random, so that calls refused together do not return together.
milliseconds retry_after_delay(const retry_after_input& input) noexcept;

// Returns the value of Retry-After for a call that targets refused though they
// had room, when no extra attempt was left: short, since the next attempt is as
// likely to be served as any other, and spread over the time that one call
// takes, so that calls refused together do not return together. Random is in 0
// to 1.
milliseconds shed_retry_after_delay(milliseconds time_left,
                                    milliseconds work_time,
                                    double random) noexcept;

// Value of Retry-After where another VM can take the call at once; also the
// minimum of the delays above.
constexpr milliseconds immediate_retry_after{20.0};

} // namespace anvilturn

#endif
