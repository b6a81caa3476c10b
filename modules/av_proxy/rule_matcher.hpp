#ifndef AV_PROXY_RULE_MATCHER_HPP
#define AV_PROXY_RULE_MATCHER_HPP

#include <av_http/request_head.hpp>
#include <av_model/rule_spec.hpp>

#include <absl/container/flat_hash_map.h>

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace anvilturn
{

// The rules of a release in the order in which they are tried: the longest
// path prefix first, then the one with more conditions. Immutable.
class rule_matcher
{
public:
    rule_matcher() = default;
    explicit rule_matcher(const std::map<std::string, rule_spec>& rules);

    // Returns the rule that the request falls under; null if there is none.
    // The pointer lives as long as the matcher.
    const rule_spec* match(const request_head& head) const;

private:
    // By host; rules for every host stand under the empty one.
    absl::flat_hash_map<std::string, std::vector<rule_spec>> rules_;
};

// Returns whether the rule's prefix covers the path by whole segments.
bool covers_path(std::string_view prefix, std::string_view path);

} // namespace anvilturn

#endif
