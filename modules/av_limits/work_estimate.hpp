#ifndef AV_LIMITS_WORK_ESTIMATE_HPP
#define AV_LIMITS_WORK_ESTIMATE_HPP

#include <av_core/milliseconds.hpp>

namespace anvilturn
{

// How long the calls of one rule take at a target that is not slowed, as a
// smoothed mean. Each rule has its own, since the rules of a service may differ
// by far in their work. Points in time are of the monotonic clock.
struct work_estimate
{
    milliseconds mean_{0.0};
    int samples_ = 0;
    milliseconds last_run_at_{0.0};
};

// Returns the estimate after a call that ended now, and took the duration at a
// target which had reported the slowdown when the call began.
work_estimate after_run(work_estimate estimate,
                        double slowdown,
                        milliseconds duration,
                        milliseconds now) noexcept;

// Returns the time that a call is expected to take. It is the mean and no
// higher quantile: a call that is refused for its work teaches nothing, so a
// bound above the time that callers have would hold for good. Zero if nothing
// is known: before the first call, and after some seconds without one.
milliseconds expected_work_time(const work_estimate& estimate,
                                milliseconds now) noexcept;

} // namespace anvilturn

#endif
