#ifndef AV_LIMITS_QUEUE_WAIT_LIMIT_HPP
#define AV_LIMITS_QUEUE_WAIT_LIMIT_HPP

#include <av_core/milliseconds.hpp>

namespace anvilturn
{

// Input that determines how long a call waits for a target. Points in time are
// of the monotonic clock.
struct wait_limit_input
{
    milliseconds arrived_;
    // Start of the wait; later than the arrival if the call was pending until
    // its VM had its configuration.
    milliseconds began_;
    milliseconds deadline_;
    // The latency objective of its rule; zero if there is none.
    milliseconds latency_objective_{0.0};
    // Time that the wait must leave for the call at a target: the typical time
    // of the service's calls, or a high quantile of it.
    milliseconds typical_time_{0.0};
};

// Returns the time until which the call waits for a target. With a latency
// objective the call is refused once it would miss the objective, so that the
// caller learns early when to retry; it waits for a small part of the objective
// in any case. Never later than the deadline allows.
milliseconds queue_wait_deadline(const wait_limit_input& input) noexcept;

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
