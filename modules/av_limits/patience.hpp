#ifndef AV_LIMITS_PATIENCE_HPP
#define AV_LIMITS_PATIENCE_HPP

#include <av_core/milliseconds.hpp>

namespace anvilturn
{

// Input that determines how long a call waits for a target. Points in time are
// of the monotonic clock.
struct wait_facts
{
    milliseconds arrived_;
    // Start of the wait; later than the arrival if the call was pending until
    // its VM had its configuration.
    milliseconds began_;
    milliseconds deadline_;
    // The latency objective of its rule; zero if there is none.
    milliseconds objective_{0.0};
    // Time that the caller has spent on its own earlier attempts.
    milliseconds spent_before_{0.0};
    // High quantile of the time of the service's calls at a target.
    milliseconds usual_time_{0.0};
};

// Returns how long ago the caller started with this call. Callers that retry
// after a refusal send a shorter deadline than those that make a first attempt,
// whose deadline is the longest that was seen.
milliseconds time_spent_before(milliseconds longest_deadline,
                               milliseconds deadline) noexcept;

// Returns the time until which the call waits for a target. With a latency
// objective the call is refused once it would miss the objective, so that the
// caller learns early when to retry; it waits for a small part of the objective
// in any case. Never later than the deadline allows.
milliseconds give_up_point(const wait_facts& facts) noexcept;

// Returns the value of Retry-After for a call that was refused because no
// target had room: a random delay within the part of the time left that callers
// are willing to wait, so that calls refused together are not retried together.
// Random is in 0 to 1.
milliseconds delay_before_return(milliseconds time_left,
                                 double random) noexcept;

// Returns the value of Retry-After for a call that targets refused though they
// had room, when no extra attempt was left: short, since the next attempt is as
// likely to be served as any other, and random, so that calls refused together
// are not retried together.
milliseconds delay_after_shedding(milliseconds time_left,
                                  double random) noexcept;

// Value of Retry-After where another VM can take the call at once; also the
// minimum of the delays above.
constexpr milliseconds return_at_once{20.0};

} // namespace anvilturn

#endif
