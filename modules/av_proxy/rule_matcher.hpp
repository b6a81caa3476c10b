#ifndef AV_PROXY_RULE_MATCHER_HPP
#define AV_PROXY_RULE_MATCHER_HPP

#include <av_http/request_head.hpp>
#include <av_model/rule_spec.hpp>

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace anvilturn
{

// Matches requests against the rules of a release. A rule with a longer path
// prefix takes precedence, then one with more conditions. The time to match
// grows with the length of the path, not with the number of rules. Immutable.
class rule_matcher
{
public:
    rule_matcher() = default;
    rule_matcher(const rule_matcher&) = delete;
    rule_matcher& operator=(const rule_matcher&) = delete;
    explicit rule_matcher(const std::map<std::string, rule_spec>& rules);

    // Returns the rule that applies to the request; null if there is none. The
    // pointer is valid as long as the matcher.
    const rule_spec* match(const request_head& head) const;

    // Returns whether there is a rule with that name.
    bool contains(const std::string& name) const;

private:
    // The rules of one host. Those with the same prefix are in matching order.
    struct host_rules
    {
        absl::flat_hash_map<std::string, std::vector<rule_spec>> by_prefix_;
        // Lengths of the prefixes that may end within a segment of the path.
        absl::flat_hash_set<std::size_t> partial_lengths_;
    };

    void add(const rule_spec& rule);
    static const rule_spec* match(const host_rules& rules,
                                  const request_head& head,
                                  std::string_view path);

    // By host; rules for all hosts are under the empty string.
    absl::flat_hash_map<std::string, host_rules> hosts_;
    absl::flat_hash_set<std::string> names_;
};

// Returns whether the prefix matches the path in whole segments: /kits covers
// /kits and /kits/4 but not /kitsch.
bool covers_path(std::string_view prefix, std::string_view path);

} // namespace anvilturn

#endif
