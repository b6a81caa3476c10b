#ifndef AV_MODEL_LOAD_REPORT_HPP
#define AV_MODEL_LOAD_REPORT_HPP

#include <av_core/comparison.hpp>

#include <tuple>

namespace anvilturn
{

// What a target said of itself on an answer or to a probe. It was true when
// the target wrote it, and is older when it arrives.
struct load_report
{
    int busy_slots_ = 0;
    int queued_calls_ = 0;
    int slots_ = 0;
    bool draining_ = false;
    // How many times longer than usual work takes on the target's machine now.
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
