#ifndef AV_LIMITS_CONCURRENCY_LIMIT_HPP
#define AV_LIMITS_CONCURRENCY_LIMIT_HPP

#include <av_core/milliseconds.hpp>

namespace anvilturn
{

// How many calls one VM sends to one target at once, adapted to what the
// target shows. Used where this VM is not the service's home, and where a
// target runs fewer calls at once than its slots say.
struct concurrency_limit
{
    // Between 1 and the target's slots.
    double limit_ = 6.0;
    // Shortest smoothed time of a call, as the time without queueing; zero
    // before the first answer.
    milliseconds base_latency_{0.0};
};

// What one answer showed of the target.
struct limit_observation
{
    milliseconds latency_{0.0};
    // Calls that queued at the target by its report; negative without one.
    int reported_queue_ = -1;
    // Whether this VM had as many calls there as the limit allows.
    bool was_at_limit_ = false;
    // Whether the target refused the call for want of room.
    bool was_refused_ = false;
};

// Returns the limit as a whole number of calls, at least 1.
int calls_allowed(const concurrency_limit& limit) noexcept;

// Returns the limit after an answer: it grows by one call for each limit's
// worth of answers while the target shows no queue and the limit is in use,
// and shrinks by a factor when the target queues, refuses or has become slow.
concurrency_limit after_response(concurrency_limit limit,
                                 const limit_observation& observation,
                                 int slots) noexcept;

} // namespace anvilturn

#endif
