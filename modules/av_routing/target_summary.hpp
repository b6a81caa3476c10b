#ifndef AV_ROUTING_TARGET_SUMMARY_HPP
#define AV_ROUTING_TARGET_SUMMARY_HPP

#include <av_core/comparison.hpp>
#include <av_core/milliseconds.hpp>
#include <av_routing/target_view.hpp>

#include <tuple>
#include <vector>

namespace anvilturn
{

// How the targets of a service looked to a choice that found none, for logs.
struct target_summary
{
    // Targets that may be given work.
    int eligible_ = 0;
    // Of these, those without room for one more call by what is known.
    int full_ = 0;
    // Of the ones with room, those whose machine is slowed.
    int slowed_ = 0;
    // Age of the newest report of an eligible target; negative if there is
    // none.
    milliseconds newest_report_age_{-1.0};

    // Returns all members, for comparison.
    auto tie() const
    {
        return std::tie(eligible_, full_, slowed_, newest_report_age_);
    }
};

// Returns the census of the targets of one service.
target_summary
summarize_targets(const std::vector<target_view>& targets) noexcept;

} // namespace anvilturn

#endif
