#include <av_quota/fleet_limit.hpp>

#include <algorithm>

namespace anvilturn
{
namespace
{

constexpr double ms_per_second = 1000.0;
constexpr milliseconds max_account_lease(500.0);
constexpr milliseconds max_cold_lease(100.0);
constexpr milliseconds cold_window(1000.0);
// A shorter lease would often end before the call is sent.
constexpr milliseconds min_lease(50.0);
// A bucket that can't hold one whole permit never grants any.
constexpr double min_burst = 1.0;
// Part of what the bound leaves that is added to the burst rather than to the
// reserve.
constexpr double extra_burst_fraction = 0.5;
// Keeps the sums within the bound in spite of rounding.
constexpr double rounding_margin = 1e-9;

double seconds(milliseconds time)
{
    return time.count() / ms_per_second;
}

// Returns one grantor's part of the bound.
double maximum_of(const fleet_limit& limit, double grantor_count)
{
    return std::max(
        0.0, limit.max_per_window_ / grantor_count * (1.0 - rounding_margin));
}

// Returns the longest lease for which the permits of a window and a lease stay
// within the maximum.
milliseconds
lease_of(const grantor_share& share, const fleet_limit& limit, double maximum)
{
    const double spare = maximum - share.burst_ -
                         share.rate_per_second_ * seconds(limit.window_);
    const double longest_s =
        share.rate_per_second_ > 0.0 ? spare / share.rate_per_second_ : 0.0;
    const auto shortest = std::min(min_lease, limit.max_lease_);
    return milliseconds(std::clamp(
        longest_s * ms_per_second, shortest.count(), limit.max_lease_.count()));
}

// Lowers the burst and rate where the bound is too tight for the shortest
// lease: the burst shrinks first, down to one permit, then the rate.
void fit_within(grantor_share& share, double covered_s, double maximum)
{
    share.burst_ = std::clamp(maximum - share.rate_per_second_ * covered_s,
                              std::min(min_burst, maximum),
                              share.burst_);
    share.rate_per_second_ =
        std::min(share.rate_per_second_, (maximum - share.burst_) / covered_s);
}

// Makes the rest of the bound the reserve, which replaces what one of the other
// grantors would have granted, as far as the bound allows.
void set_reserve(grantor_share& share,
                 double rest,
                 double covered_s,
                 double grantor_count)
{
    share.reserve_rate_per_second_ =
        std::min(share.rate_per_second_ / (grantor_count - 1.0),
                 (rest - min_burst) / covered_s);
    share.reserve_burst_ = rest - share.reserve_rate_per_second_ * covered_s;
}

} // namespace

std::optional<fleet_limit> account_limit(const account_spec& account,
                                         const limit_bounds& bounds)
{
    const double window_s = seconds(bounds.account_window_);
    if (!(account.rate_per_second_ > 0.0) || !(window_s > 0.0))
    {
        return std::nullopt;
    }
    fleet_limit limit;
    limit.rate_per_second_ = account.rate_per_second_;
    limit.burst_ = std::max(0.0, account.burst_);
    limit.window_ = bounds.account_window_;
    limit.max_per_window_ = (limit.rate_per_second_ * window_s + limit.burst_) *
                                (1.0 + bounds.account_overrun_) +
                            bounds.account_slack_;
    limit.max_lease_ = max_account_lease;
    return limit;
}

std::optional<fleet_limit> cold_target_limit(const service_spec& service,
                                             const limit_bounds& bounds)
{
    const double rate = service.cold_rate_per_second_;
    const double max_per_window =
        rate * bounds.cold_overrun_ + bounds.cold_slack_;
    const bool has_bounds =
        bounds.cold_overrun_ > 0.0 || bounds.cold_slack_ > 0.0;
    if (!(rate > 0.0) || !has_bounds)
    {
        return std::nullopt;
    }
    fleet_limit limit;
    limit.rate_per_second_ = rate;
    limit.window_ = cold_window;
    limit.max_per_window_ = max_per_window;
    limit.max_lease_ = max_cold_lease;
    return limit;
}

grantor_share share_of(const fleet_limit& limit, std::size_t grantor_count)
{
    const auto count =
        static_cast<double>(std::max<std::size_t>(1, grantor_count));
    const double maximum = maximum_of(limit, count);
    grantor_share share;
    share.rate_per_second_ = limit.rate_per_second_ / count;
    // The fractions of tokens that are left at each grantor add up to almost
    // one permit for each, so a part of the burst would never be granted.
    share.burst_ = limit.burst_ / count + min_burst;
    share.full_after_ = limit.window_ + limit.max_lease_;
    share.lease_ = lease_of(share, limit, maximum);
    const double covered_s = seconds(limit.window_) + seconds(share.lease_);
    fit_within(share, covered_s, maximum);
    double rest = maximum - share.burst_ - share.rate_per_second_ * covered_s;
    if (limit.burst_ > 0.0 && rest > 0.0)
    {
        // Makes up for permits that VMs prefetch and don't use.
        share.burst_ += rest * extra_burst_fraction;
        rest -= rest * extra_burst_fraction;
    }
    if (grantor_count > 1 && rest >= min_burst)
    {
        set_reserve(share, rest, covered_s, count);
    }
    return share;
}

} // namespace anvilturn
