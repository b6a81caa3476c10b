#include <av_routing/target_summary.hpp>

#include <av_routing/load_estimate.hpp>

#include <algorithm>

namespace anvilturn
{
namespace
{

bool is_full(const target_view& target) noexcept
{
    const int seen =
        std::max(target.local_in_flight_,
                 target.reported_load_ + target.sent_since_report_);
    return target.local_in_flight_ >= target.local_limit_ ||
           seen >= target.best_concurrency_;
}

} // namespace

target_summary
summarize_targets(const std::vector<target_view>& targets) noexcept
{
    target_summary census;
    for (const auto& target : targets)
    {
        if (!target.eligible_)
        {
            continue;
        }
        ++census.eligible_;
        const bool full = is_full(target);
        census.full_ += full ? 1 : 0;
        census.slowed_ += !full && is_slowed(target) ? 1 : 0;
        const bool is_first = census.newest_report_age_.count() < 0.0;
        if (target.reported_load_ >= 0 &&
            (is_first || target.report_age_ < census.newest_report_age_))
        {
            census.newest_report_age_ = target.report_age_;
        }
    }
    return census;
}

} // namespace anvilturn
