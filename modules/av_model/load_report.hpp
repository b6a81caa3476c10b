#ifndef AV_MODEL_LOAD_REPORT_HPP
#define AV_MODEL_LOAD_REPORT_HPP

#include <av_core/comparison.hpp>

#include <tuple>

namespace anvilturn
{

// The load that a target reports about itself in a response or to a probe. It
// describes the time at which the target wrote it, not the one at which it is
// received.
struct load_report
{
    int busy_slots_ = 0;
    int queued_calls_ = 0;
    int slots_ = 0;
    bool draining_ = false;
    // Factor by which work on the target's machine currently takes longer than
    // is typical.
    double slowdown_ = 1.0;

    // Returns all members, for comparison.
    auto tie() const
    {
        return std::tie(
            busy_slots_, queued_calls_, slots_, draining_, slowdown_);
    }
};

} // namespace anvilturn

#endif
