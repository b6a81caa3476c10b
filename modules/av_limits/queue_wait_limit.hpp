#ifndef AV_LIMITS_QUEUE_WAIT_LIMIT_HPP
#define AV_LIMITS_QUEUE_WAIT_LIMIT_HPP

#include <av_core/milliseconds.hpp>

namespace anvilturn
{

// What decides how long a call waits for a target. Points in time are of the
// monotonic clock.
struct wait_limit_input
{
    milliseconds arrived_;
    // When it began to wait, later than its arrival if its VM had just started.
    milliseconds began_;
    milliseconds deadline_;
    // The latency objective of its rule; zero if there is none.
    milliseconds latency_objective_{0.0};
    // Time that the caller has spent on earlier attempts of its own.
    milliseconds earlier_attempts_time_{0.0};
    // Time that nearly all calls of the service stay below at a target.
    milliseconds typical_time_{0.0};
};

// Returns how long ago the caller began with this call: callers that come back
// after a refusal bring a shorter deadline than those that come for the first
// time, whose deadline is the longest that was seen.
milliseconds time_of_earlier_attempts(milliseconds longest_deadline,
                                      milliseconds deadline) noexcept;

// Returns the point until which the call waits for a target. With a latency
// objective it is refused once it would miss that, so that the caller learns
// early when to come back; it waits for a small part of the objective in any
// case. Never later than the deadline allows.
milliseconds queue_wait_deadline(const wait_limit_input& facts) noexcept;

// Returns the value of Retry-After for a call that was refused for want of
// room: a random time within the part of the caller's time left that callers
// wait for, so that calls refused together don't return together. Random is
// in 0 to 1.
milliseconds retry_after_delay(milliseconds time_left, double random) noexcept;

// Returns the value of Retry-After for a call that targets refused though they
// had room, when no extra attempt was left: short, since the next attempt is as
// likely to be served as any, and random, so that calls refused together don't
// return together.
milliseconds shed_retry_after_delay(milliseconds time_left,
                                    double random) noexcept;

// Value of Retry-After where another VM can take the call at once.
constexpr milliseconds immediate_retry_after{20.0};

} // namespace anvilturn

#endif
