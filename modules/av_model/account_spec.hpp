#ifndef AV_MODEL_ACCOUNT_SPEC_HPP
#define AV_MODEL_ACCOUNT_SPEC_HPP

#include <av_core/comparison.hpp>

#include <av_model/traffic_class.hpp>

#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace anvilturn
{

// A client account: who may send calls, and how many.
struct account_spec
{
    // Unique in the release. Targets get it with each call of the account.
    std::string name_;
    // The keys by which callers identify themselves. A key belongs to one
    // account only. Keys are secret: they are neither logged nor passed on.
    std::vector<std::string> keys_;
    // Takes precedence over the class of the rule, if it is set.
    std::optional<traffic_class> class_;
    // The quota, a token bucket for all VMs together: calls per second, and
    // calls in a burst. A rate of zero means no limit.
    double rate_per_second_ = 0.0;
    double burst_ = 0.0;
    // The regions whose targets may get the account's calls; empty allows all.
    std::vector<std::string> allowed_regions_;

    // Returns all members, for comparison.
    auto tie() const
    {
        return std::tie(
            name_, keys_, class_, rate_per_second_, burst_, allowed_regions_);
    }

    friend bool operator==(const account_spec& a, const account_spec& b)
    {
        return a.tie() == b.tie();
    }

    friend bool operator!=(const account_spec& a, const account_spec& b)
    {
        return !(a == b);
    }
};

} // namespace anvilturn

#endif
