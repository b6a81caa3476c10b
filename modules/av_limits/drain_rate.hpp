#ifndef AV_LIMITS_DRAIN_RATE_HPP
#define AV_LIMITS_DRAIN_RATE_HPP

#include <av_core/milliseconds.hpp>

#include <cstddef>

namespace anvilturn
{

// The rate at which the waiting calls of a class are dequeued and sent to
// targets. It covers the targets of all failure domains and what the other
// classes take, so that it stays accurate when some targets are slow or
// unavailable, or other classes have more calls.
struct drain_rate
{
    // Time during which calls waited, and calls that were dequeued in it; the
    // weight of both decays with their age.
    milliseconds waiting_time_{0.0};
    double dequeues_ = 0.0;
    // When an interval between two dequeues was last measured.
    milliseconds measured_at_{0.0};
    // Time of the last dequeue, and whether calls were still waiting then.
    milliseconds last_dequeue_at_{0.0};
    bool had_waiting_calls_ = false;
};

// Returns the rate after a call was dequeued and sent to a target, with the
// number of calls that still wait. After a long pause the rate is not known,
// since neither the pause nor what came before it tells how long the next calls
// wait.
drain_rate after_dequeue(drain_rate rate,
                         std::size_t still_waiting,
                         milliseconds now) noexcept;

// Returns the rate when a call comes to wait where none does: the time since
// the last dequeue does not count, and an old rate is not known any more.
drain_rate at_first_wait(drain_rate rate, milliseconds now) noexcept;

// Returns the mean interval between two dequeues while calls wait; zero if it
// is not known.
milliseconds mean_interval(const drain_rate& rate) noexcept;

} // namespace anvilturn

#endif
