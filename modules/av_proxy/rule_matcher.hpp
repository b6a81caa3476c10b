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

// Matches requests against the rules of a release. A rule with a longer path
// prefix takes precedence, then one with more conditions. Immutable.
class rule_matcher
{
public:
    rule_matcher() = default;
    explicit rule_matcher(const std::map<std::string, rule_spec>& rules);

    // Returns the rule that applies to the request; null if there is none. The
    // pointer is valid as long as the matcher.
    const rule_spec* match(const request_head& head) const;

private:
    // By host, in matching order; rules for all hosts are under the empty
    // string.
    absl::flat_hash_map<std::string, std::vector<rule_spec>> rules_;
};

// Returns whether the prefix matches the path in whole segments: /kits covers
// /kits and /kits/4 but not /kitsch.
bool covers_path(std::string_view prefix, std::string_view path);

} // namespace anvilturn

#endif
