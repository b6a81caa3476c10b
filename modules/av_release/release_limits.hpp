#ifndef AV_RELEASE_RELEASE_LIMITS_HPP
#define AV_RELEASE_RELEASE_LIMITS_HPP

#include <av_core/comparison.hpp>

#include <cstddef>
#include <string>
#include <tuple>
#include <vector>

namespace anvilturn
{

// Limits of a release. They are passed as arguments, so that tests can reach
// them with few objects.
struct release_limits
{
    // Largest written release in bytes: the platform's limit on one value.
    std::size_t max_value_bytes_ = 1'000'000;
    // Number of accepted notes whose ids and withdrawals are recorded. A note
    // with a base version before them is refused as a conflict.
    std::size_t max_recent_notes_ = 1024;
    // Names of the choice policies that a service may use.
    std::vector<std::string> choice_policies_;

    // Returns all members, for comparison.
    auto tie() const
    {
        return std::tie(max_value_bytes_, max_recent_notes_, choice_policies_);
    }
};

// Returns the default limits with the choice policies registered in this
// program.
release_limits default_release_limits();

} // namespace anvilturn

#endif
