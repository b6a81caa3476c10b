#ifndef AV_LIMITS_START_SCHEDULE_HPP
#define AV_LIMITS_START_SCHEDULE_HPP

#include <av_core/milliseconds.hpp>

#include <cstddef>
#include <vector>

namespace anvilturn
{

// Returns the latest point in time at which a call that needs the work time can
// start and still be answered before its deadline. A waiting call is refused
// then, since its caller can use an answer until the deadline and not later.
milliseconds latest_start(milliseconds deadline,
                          milliseconds work_time) noexcept;

// When the waiting calls of a class are expected to start: the first one now,
// the others one interval after another.
struct start_schedule
{
    milliseconds now_{0.0};
    milliseconds interval_{0.0};
};

// Returns the time that a call with so many calls ahead of it waits; zero if
// the interval is not known.
milliseconds wait_behind(const start_schedule& schedule,
                         std::size_t calls_ahead) noexcept;

// Returns the expected start of the call with so many calls ahead of it.
milliseconds start_of(const start_schedule& schedule,
                      std::size_t calls_ahead) noexcept;

// Returns the positions of the calls that can't start in time and are best
// refused at once. The argument has the latest start of each waiting call, in
// order; calls that are refused delay none of the others.
std::vector<std::size_t>
calls_too_late(const std::vector<milliseconds>& latest_starts,
               const start_schedule& schedule);

// Returns whether a new call can start in time, and all calls behind it that
// could start in time still can. Waiting calls are served by their latest
// start, so if the answer is no, no other order would serve them all.
bool has_place_for(milliseconds latest_start,
                   const std::vector<milliseconds>& latest_starts,
                   const start_schedule& schedule);

} // namespace anvilturn

#endif
