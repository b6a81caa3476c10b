#ifndef AV_LIMITS_ADMISSION_HPP
#define AV_LIMITS_ADMISSION_HPP

#include <av_core/milliseconds.hpp>

#include <cstddef>

namespace anvilturn
{

// The rate at which waiting calls of a service are dequeued and sent to
// targets. It covers the targets of all failure domains, so that it stays
// accurate when some of them are slow or unavailable.
struct drain_rate
{
    // Smoothed interval between two dequeues while calls wait; zero before the
    // first measurement.
    milliseconds mean_interval_{0.0};
    // Time of the last dequeue, and whether calls were still waiting then.
    milliseconds last_dequeue_at_{0.0};
    bool had_waiting_calls_ = false;
};

// Returns the rate after a call was dequeued and sent to a target, with the
// number of calls that still wait.
drain_rate after_dequeue(drain_rate rate,
                         std::size_t still_waiting,
                         milliseconds now) noexcept;

// Input of the admission decision for a call that is about to be queued.
struct admission_input
{
    // Calls that are served before this one: see call_queue::size_ahead_of.
    std::size_t calls_ahead_ = 0;
    milliseconds time_left_{0.0};
    // Time within which most calls of its kind end at a target.
    milliseconds work_time_{0.0};
};

// Returns the latest point in time at which a call that needs the work time can
// start and still be answered before its deadline. A waiting call is refused
// then, since an answer is worth having to its caller until the deadline and
// not later.
milliseconds latest_start(milliseconds deadline,
                          milliseconds work_time) noexcept;

// Returns the expected time in the queue for a call with so many calls ahead of
// it.
milliseconds expected_wait(const drain_rate& rate,
                           std::size_t calls_ahead) noexcept;

// Returns whether the call can be answered before its deadline. If not, refuse
// it at once as not run: a call that starts too late wastes a slot, and one
// that waits in vain leaves its caller too little time to retry elsewhere.
bool can_meet_deadline(const drain_rate& rate,
                       const admission_input& input) noexcept;

} // namespace anvilturn

#endif
