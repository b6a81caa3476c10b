#include <av_probing/probe_permission.hpp>

#include <cmath>

namespace anvilturn
{

namespace
{

constexpr double ms_per_second = 1000.0;
constexpr double clock_rate_margin = 0.02;
constexpr milliseconds clock_tolerance(500.0);

} // namespace

std::optional<milliseconds> probe_spacing(double probes_per_second) noexcept
{
    if (!(probes_per_second > 0.0))
    {
        return std::nullopt;
    }
    const milliseconds interval(ms_per_second / probes_per_second);
    return interval * (1.0 + clock_rate_margin) + probe_transit_limit;
}

bool may_probe_now(const probe_lease_state& state,
                   const probe_check_input& input,
                   milliseconds now) noexcept
{
    const auto spacing = probe_spacing(input.probes_per_second_);
    if (!spacing)
    {
        return false;
    }
    // The probe must arrive while the lease is valid.
    if (!holds_lease(state, input.shard_, now + probe_transit_limit))
    {
        return false;
    }
    const auto& lease = state.leases_[input.shard_];
    if (now < lease.held_since_ + *spacing)
    {
        return false;
    }
    return !input.last_sent_at_ || now >= *input.last_sent_at_ + *spacing;
}

bool clocks_agree(const clock_reading& before,
                  const clock_reading& after) noexcept
{
    const auto monotonic = after.monotonic_ - before.monotonic_;
    const auto wall = after.wall_ - before.wall_;
    return std::abs((wall - monotonic).count()) <= clock_tolerance.count();
}

} // namespace anvilturn
