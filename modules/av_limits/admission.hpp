#ifndef AV_LIMITS_ADMISSION_HPP
#define AV_LIMITS_ADMISSION_HPP

#include <av_core/milliseconds.hpp>

#include <cstddef>

namespace anvilturn
{

// How fast waiting calls of a service leave the queue for targets. It counts
// what targets of all failure domains really take, so that it also holds when
// some of them are slow or gone.
struct drain_rate
{
    // Smoothed time between two starts while calls wait; zero before the first.
    milliseconds gap_{0.0};
    // Point of the last start, and whether calls were left waiting then.
    milliseconds last_dequeue_at_{0.0};
    bool had_waiting_calls_ = false;
};

// Returns the rate after a call left the queue for a target, with the number
// of calls that still wait.
drain_rate after_dequeue(drain_rate rate,
                         std::size_t still_waiting,
                         milliseconds now) noexcept;

// What is known when a call is about to wait.
struct admission_input
{
    // Calls that are served before it: see call_queue::size_ahead_of.
    std::size_t calls_ahead_ = 0;
    milliseconds time_left_{0.0};
    // Time that 95 of 100 calls of the service stay below at a target.
    milliseconds p95_latency_{0.0};
};

// Returns how long the call would wait in the queue.
milliseconds expected_wait(const drain_rate& rate,
                           std::size_t calls_ahead) noexcept;

// Returns whether the call can be answered before its deadline. If not, refuse
// it at once as not run: a call that is begun too late wastes a slot, and one
// that waits in vain learns too late that it should go elsewhere.
bool can_meet_deadline(const drain_rate& rate,
                       const admission_input& question) noexcept;

} // namespace anvilturn

#endif
