#ifndef AV_RELEASE_RELEASE_LIMITS_HPP
#define AV_RELEASE_RELEASE_LIMITS_HPP

#include <av_core/comparison.hpp>

#include <cstddef>
#include <string>
#include <tuple>
#include <vector>

namespace anvilturn
{

// What a release must keep to. The limits are arguments, so that tests can
// reach them with few objects.
struct release_limits
{
    // Bytes of the written release: the platform's limit on one value.
    std::size_t max_value_bytes_ = 1'000'000;
    // Accepted notes whose ids and withdrawals are kept. A note that was
    // written against an older version conflicts.
    std::size_t max_recent_notes_ = 1024;
    // Names of choice policies that a service may have.
    std::vector<std::string> choice_policies_;

    // Returns all members, for comparison.
    auto tie() const
    {
        return std::tie(max_value_bytes_, max_recent_notes_, choice_policies_);
    }
};

// Returns the limits with the choice policies that this program registered.
release_limits default_release_limits();

} // namespace anvilturn

#endif
