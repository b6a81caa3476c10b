#include <av_routing/load_estimate.hpp>

#include <algorithm>
#include <cmath>

namespace anvilturn
{

namespace
{

// The age at which a report counts 1/e, as a part of the time of a call.
constexpr double report_lifetime_in_calls = 0.5;
constexpr double min_report_lifetime_ms = 2.0;
constexpr double min_slot_share = 0.1;

int load_from_other_vms_at_report(const target_view& target) noexcept
{
    return std::max(0,
                    target.reported_load_ - target.local_in_flight_at_report_);
}

} // namespace

double report_weight(const target_view& target) noexcept
{
    if (target.reported_load_ < 0)
    {
        return 0.0;
    }
    const double lifetime =
        std::max(min_report_lifetime_ms,
                 report_lifetime_in_calls * target.latency_.count());
    return std::exp(-target.report_age_.count() / lifetime);
}

bool has_room(const target_view& target) noexcept
{
    return target.eligible_ && target.local_in_flight_ < target.local_limit_;
}

typical_load
typical_load_from_other_vms(const std::vector<target_view>& targets) noexcept
{
    int sums[2] = {0, 0};
    int counts[2] = {0, 0};
    for (const auto& target : targets)
    {
        if (target.reported_load_ >= 0)
        {
            sums[target.same_domain_ ? 1 : 0] +=
                load_from_other_vms_at_report(target);
            ++counts[target.same_domain_ ? 1 : 0];
        }
    }
    const auto mean = [](int sum, int count)
    {
        return count == 0 ? 0.0 : static_cast<double>(sum) / count;
    };
    return {mean(sums[1], counts[1]), mean(sums[0], counts[0])};
}

double load_from_other_vms(const target_view& target,
                           const typical_load& usual) noexcept
{
    const double expected =
        target.same_domain_ ? usual.same_domain_ : usual.other_domain_;
    const double surprise = load_from_other_vms_at_report(target) - expected;
    return expected + surprise * report_weight(target);
}

double estimated_load(const target_view& target,
                      const typical_load& usual) noexcept
{
    return target.local_in_flight_ + load_from_other_vms(target, usual);
}

double effective_slots(const target_view& target) noexcept
{
    const double slow_start_weight =
        std::clamp(target.slow_start_weight_, min_slot_share, 1.0);
    return std::max(1.0, target.slots_ * slow_start_weight);
}

bool is_slowed(const target_view& target) noexcept
{
    constexpr double max_typical_slowdown = 1.5;
    return target.reported_slowdown_ > max_typical_slowdown;
}

} // namespace anvilturn
