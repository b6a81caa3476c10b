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

// What is wrong with a release as a whole.
struct validation_error
{
    std::string detail_;
    // Keys of the objects that don't fit together, such as "target/a-1".
    std::vector<std::string> objects_;

    // Returns all members, for comparison.
    auto tie() const
    {
        return std::tie(detail_, objects_);
    }
};

// Whether some request could match both rules with neither winning by a longer
// path prefix or more conditions.
bool are_ambiguous(const rule_spec& a, const rule_spec& b);

// Returns the first fault: an unknown service or choice policy, an address
// that two targets have, or rules that are tied. Ranges of members are not
// checked: builders and codecs do that.
std::optional<validation_error>
find_validation_error(const release& value, const release_limits& limits);

} // namespace anvilturn

#endif
