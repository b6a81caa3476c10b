#ifndef AV_QUOTA_FLEET_LIMIT_HPP
#define AV_QUOTA_FLEET_LIMIT_HPP

#include <av_core/comparison.hpp>
#include <av_core/milliseconds.hpp>
#include <av_model/account_spec.hpp>
#include <av_model/service_spec.hpp>

#include <cstddef>
#include <optional>
#include <tuple>

namespace anvilturn
{

// The bounds that the platform sets for the sums over all VMs. In any window of
// an account at most (rate x window + burst) x (1 + overrun) + slack calls are
// sent; to a cold target, in any second, at most rate x overrun + slack.
struct limit_bounds
{
    // Zero if accounts are not limited.
    milliseconds account_window_{0.0};
    double account_overrun_ = 0.0;
    double account_slack_ = 0.0;
    // Both zero if cold targets are not limited.
    double cold_overrun_ = 0.0;
    double cold_slack_ = 0.0;

    // Returns all members, for comparison.
    auto tie() const
    {
        return std::tie(account_window_,
                        account_overrun_,
                        account_slack_,
                        cold_overrun_,
                        cold_slack_);
    }

    friend bool operator==(const limit_bounds& a, const limit_bounds& b)
    {
        return a.tie() == b.tie();
    }

    friend bool operator!=(const limit_bounds& a, const limit_bounds& b)
    {
        return !(a == b);
    }
};

// A limit on calls that holds for all VMs together.
struct fleet_limit
{
    // What callers are entitled to: a token bucket.
    double rate_per_second_ = 0.0;
    double burst_ = 0.0;
    // No window of this length may have more calls than this.
    milliseconds window_{0.0};
    double max_per_window_ = 0.0;
    // The longest time for which a permit may be valid.
    milliseconds max_lease_{0.0};

    // Returns all members, for comparison.
    auto tie() const
    {
        return std::tie(
            rate_per_second_, burst_, window_, max_per_window_, max_lease_);
    }

    friend bool operator==(const fleet_limit& a, const fleet_limit& b)
    {
        return a.tie() == b.tie();
    }

    friend bool operator!=(const fleet_limit& a, const fleet_limit& b)
    {
        return !(a == b);
    }
};

// Returns the limit of an account; nothing if the account or the platform sets
// none.
std::optional<fleet_limit> account_limit(const account_spec& account,
                                         const limit_bounds& bounds);

// Returns the limit of each cold target of a service; nothing if the service or
// the platform sets none.
std::optional<fleet_limit> cold_target_limit(const service_spec& service,
                                             const limit_bounds& bounds);

// The part of a limit that one grantor owns. The calls of the permits from all
// grantors together stay within the limit in every window, because for each
// grantor burst + rate x (window + lease), and the same of the reserve, are at
// most an equal part of the maximum.
struct grantor_share
{
    double rate_per_second_ = 0.0;
    double burst_ = 0.0;
    // How long a permit is valid, from when the VM that uses it asked for it.
    milliseconds lease_{0.0};
    // A second token bucket for VMs that can't reach another grantor.
    double reserve_rate_per_second_ = 0.0;
    double reserve_burst_ = 0.0;
    // Time after which permits of an earlier process of the grantor are used in
    // no window together with permits that are granted now.
    milliseconds full_after_{0.0};

    // Returns all members, for comparison.
    auto tie() const
    {
        return std::tie(rate_per_second_,
                        burst_,
                        lease_,
                        reserve_rate_per_second_,
                        reserve_burst_,
                        full_after_);
    }

    friend bool operator==(const grantor_share& a, const grantor_share& b)
    {
        return a.tie() == b.tie();
    }

    friend bool operator!=(const grantor_share& a, const grantor_share& b)
    {
        return !(a == b);
    }
};

// Returns the share of each of the grantors, of which there is at least one.
grantor_share share_of(const fleet_limit& limit, std::size_t grantor_count);

} // namespace anvilturn

#endif
