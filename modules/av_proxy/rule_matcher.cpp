#include <av_proxy/rule_matcher.hpp>

#include <algorithm>
#include <string_view>

namespace anvilturn
{
namespace
{

std::string_view without_trailing_slash(std::string_view prefix)
{
    if (!prefix.empty() && prefix.back() == '/')
    {
        prefix.remove_suffix(1);
    }
    return prefix;
}

int condition_count(const rule_spec& rule)
{
    return (rule.host_.empty() ? 0 : 1) + (rule.methods_.empty() ? 0 : 1) +
           (rule.header_name_.empty() ? 0 : 1);
}

std::size_t prefix_length(const rule_spec& rule)
{
    const std::string_view prefix = rule.path_prefix_;
    return rule.plain_prefix_ ? prefix.size()
                              : without_trailing_slash(prefix).size();
}

bool is_tried_before(const rule_spec& a, const rule_spec& b)
{
    if (prefix_length(a) != prefix_length(b))
    {
        return prefix_length(a) > prefix_length(b);
    }
    return condition_count(a) > condition_count(b);
}

bool matches(const rule_spec& rule,
             const request_head& head,
             std::string_view path)
{
    const std::string_view prefix = rule.path_prefix_;
    const bool covered = rule.plain_prefix_
                             ? path.substr(0, prefix.size()) == prefix
                             : covers_path(prefix, path);
    if (!covered)
    {
        return false;
    }
    const auto& methods = rule.methods_;
    if (!methods.empty() &&
        std::find(methods.begin(), methods.end(), head.method_) ==
            methods.end())
    {
        return false;
    }
    return rule.header_name_.empty() ||
           find_field(head.fields_, rule.header_name_) == rule.header_value_;
}

const rule_spec* first_match(const std::vector<rule_spec>& rules,
                             const request_head& head,
                             std::string_view path)
{
    const auto found = std::find_if(rules.begin(),
                                    rules.end(),
                                    [&](const rule_spec& rule)
                                    {
                                        return matches(rule, head, path);
                                    });
    return found == rules.end() ? nullptr : &*found;
}

} // namespace

rule_matcher::rule_matcher(const std::map<std::string, rule_spec>& rules)
{
    for (const auto& entry : rules)
    {
        rules_[entry.second.host_].push_back(entry.second);
    }
    for (auto& entry : rules_)
    {
        std::stable_sort(
            entry.second.begin(), entry.second.end(), is_tried_before);
    }
}

const rule_spec* rule_matcher::match(const request_head& head) const
{
    const std::string_view target = head.target_;
    const auto path = target.substr(0, target.find('?'));
    const rule_spec* best = nullptr;
    for (const absl::string_view host :
         {absl::string_view(head.host_), absl::string_view()})
    {
        const auto found = rules_.find(host);
        if (found == rules_.end())
        {
            continue;
        }
        const auto* rule = first_match(found->second, head, path);
        if (rule != nullptr &&
            (best == nullptr || is_tried_before(*rule, *best)))
        {
            best = rule;
        }
    }
    return best;
}

bool covers_path(std::string_view prefix, std::string_view path)
{
    prefix = without_trailing_slash(prefix);
    if (path.substr(0, prefix.size()) != prefix)
    {
        return false;
    }
    return path.size() == prefix.size() || path[prefix.size()] == '/';
}

} // namespace anvilturn
