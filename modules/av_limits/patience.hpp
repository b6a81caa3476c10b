#ifndef AV_LIMITS_PATIENCE_HPP
#define AV_LIMITS_PATIENCE_HPP

#include <av_core/milliseconds.hpp>

namespace anvilturn
{

// What decides how long a call waits for a target. Points in time are of the
// monotonic clock.
struct wait_facts
{
    milliseconds arrived_;
    // When it began to wait, later than its arrival if its VM had just started.
    milliseconds began_;
    milliseconds deadline_;
    // The latency objective of its rule; zero if there is none.
    milliseconds objective_{0.0};
    // Time that the caller has spent on earlier attempts of its own.
    milliseconds spent_before_{0.0};
    // Time that nearly all calls of the service stay below at a target.
    milliseconds usual_time_{0.0};
};

// Returns how long ago the caller began with this call: callers that come back
// after a refusal bring a shorter deadline than those that come for the first
// time, whose deadline is the longest that was seen.
milliseconds time_spent_before(milliseconds longest_deadline,
                               milliseconds deadline) noexcept;

// Returns the point until which the call waits for a target. With a latency
// objective it is refused once it would miss that, so that the caller learns
// early when to come back; it waits for a small part of the objective in any
// case. Never later than the deadline allows.
milliseconds give_up_point(const wait_facts& facts) noexcept;

// Returns the value of Retry-After for a call that was refused for want of
// room: a random time within the part of the caller's time left that callers
// wait for, so that calls refused together don't return together. Random is
// in 0 to 1.
milliseconds delay_before_return(milliseconds time_left,
                                 double random) noexcept;

// Returns the value of Retry-After for a call that targets refused though they
// had room, when no extra attempt was left: short, since the next attempt is as
// likely to be served as any, and random, so that calls refused together don't
// return together.
milliseconds delay_after_shedding(milliseconds time_left,
                                  double random) noexcept;

// Value of Retry-After where another VM can take the call at once.
constexpr milliseconds return_at_once{20.0};

} // namespace anvilturn

#endif
