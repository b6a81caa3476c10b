#include <av_routing/load_estimate.hpp>

#include <algorithm>
#include <cmath>

namespace anvilturn
{

namespace
{

// The age at which the weight of a report has fallen to 1/e, as a fraction of
// the time of a call.
constexpr double report_lifetime_in_calls = 0.5;
constexpr double shortest_report_lifetime_ms = 2.0;
constexpr double smallest_share_of_slots = 0.1;

int foreign_load_at_report(const target_view& target) noexcept
{
    return std::max(0, target.reported_load_ - target.own_in_flight_at_report_);
}

} // namespace

double trust_in_report(const target_view& target) noexcept
{
    if (target.reported_load_ < 0)
    {
        return 0.0;
    }
    const double lifetime =
        std::max(shortest_report_lifetime_ms,
                 report_lifetime_in_calls * target.latency_.count());
    return std::exp(-target.report_age_.count() / lifetime);
}

bool has_room(const target_view& target) noexcept
{
    return target.eligible_ && target.own_in_flight_ < target.own_limit_;
}

usual_load usual_foreign_load(const std::vector<target_view>& targets) noexcept
{
    int sums[2] = {0, 0};
    int counts[2] = {0, 0};
    for (const auto& target : targets)
    {
        if (target.reported_load_ >= 0)
        {
            sums[target.same_domain_ ? 1 : 0] += foreign_load_at_report(target);
            ++counts[target.same_domain_ ? 1 : 0];
        }
    }
    const auto mean = [](int sum, int count)
    {
        return count == 0 ? 0.0 : static_cast<double>(sum) / count;
    };
    return {mean(sums[1], counts[1]), mean(sums[0], counts[0])};
}

double foreign_load(const target_view& target, const usual_load& usual) noexcept
{
    const double expected =
        target.same_domain_ ? usual.same_domain_ : usual.other_domain_;
    const double surprise = foreign_load_at_report(target) - expected;
    return expected + surprise * trust_in_report(target);
}

double estimated_load(const target_view& target,
                      const usual_load& usual) noexcept
{
    return target.own_in_flight_ + foreign_load(target, usual);
}

double effective_slots(const target_view& target) noexcept
{
    const double warmth =
        std::clamp(target.warmth_, smallest_share_of_slots, 1.0);
    return std::max(1.0, target.slots_ * warmth);
}

bool is_slowed(const target_view& target) noexcept
{
    constexpr double usual_slowdown = 1.5;
    return target.reported_slowdown_ > usual_slowdown;
}

} // namespace anvilturn
