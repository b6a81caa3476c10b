#ifndef AV_RELEASE_VALIDATE_RELEASE_HPP
#define AV_RELEASE_VALIDATE_RELEASE_HPP

#include <av_core/comparison.hpp>
#include <av_model/release.hpp>
#include <av_release/release_limits.hpp>

#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace anvilturn
{

// An inconsistency between the objects of a release.
struct validation_error
{
    std::string detail_;
    // Keys of the objects involved, such as "target/a-1".
    std::vector<std::string> objects_;

    // Returns all members, for comparison.
    auto tie() const
    {
        return std::tie(detail_, objects_);
    }
};

// Returns whether a request could match both rules with equal precedence:
// neither has a longer path prefix or more conditions.
bool are_ambiguous(const rule_spec& a, const rule_spec& b);

// Returns the first error found: an unknown service or choice policy, an
// address used by two targets, or ambiguous rules. Ranges of members are
// checked by the builders and codecs instead.
std::optional<validation_error>
find_validation_error(const release& value, const release_limits& limits);

} // namespace anvilturn

#endif
