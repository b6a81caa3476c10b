#ifndef AV_LIMITS_WORK_ESTIMATE_HPP
#define AV_LIMITS_WORK_ESTIMATE_HPP

#include <av_core/milliseconds.hpp>

namespace anvilturn
{

// How long the calls of one rule take at a target that is not slowed: a
// smoothed mean, and a smoothed mean deviation from it. Each rule has its own,
// since the rules of a service may differ by far in their work.
struct work_estimate
{
    milliseconds mean_{0.0};
    milliseconds deviation_{0.0};
    int samples_ = 0;
};

// Returns the estimate after a call that took the duration at a target which
// had reported the slowdown when the call began.
work_estimate after_run(work_estimate estimate,
                        double slowdown,
                        milliseconds duration) noexcept;

// Returns a time within which about 19 of 20 calls end; zero before the first
// one, when nothing is known.
milliseconds likely_work_time(const work_estimate& estimate) noexcept;

} // namespace anvilturn

#endif
