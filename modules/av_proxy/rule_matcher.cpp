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

// Returns the prefix as the key of the index.
std::string_view index_key(const rule_spec& rule)
{
    const std::string_view prefix = rule.path_prefix_;
    return rule.plain_prefix_ ? prefix : without_trailing_slash(prefix);
}

// Returns whether the prefix can only end at the end of a segment of the path.
bool ends_at_segment(const rule_spec& rule)
{
    return !rule.plain_prefix_ || rule.path_prefix_.empty() ||
           rule.path_prefix_.back() == '/';
}

bool is_segment_end(std::string_view path, std::size_t length)
{
    return length == 0 || length == path.size() || path[length] == '/' ||
           path[length - 1] == '/';
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
        add(entry.second);
    }
    for (auto& host : hosts_)
    {
        for (auto& entry : host.second.by_prefix_)
        {
            std::stable_sort(
                entry.second.begin(), entry.second.end(), is_tried_before);
        }
    }
}

bool rule_matcher::contains(const std::string& name) const
{
    return names_.contains(name);
}

void rule_matcher::add(const rule_spec& rule)
{
    names_.insert(rule.name_);
    auto& host = hosts_[rule.host_];
    const auto key = index_key(rule);
    host.by_prefix_[std::string(key)].push_back(rule);
    if (!ends_at_segment(rule))
    {
        host.partial_lengths_.insert(key.size());
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
        const auto found = hosts_.find(host);
        if (found == hosts_.end())
        {
            continue;
        }
        const auto* rule = match(found->second, head, path);
        if (rule != nullptr &&
            (best == nullptr || is_tried_before(*rule, *best)))
        {
            best = rule;
        }
    }
    return best;
}

// Looks up the prefixes of the path, the longest first.
const rule_spec* rule_matcher::match(const host_rules& rules,
                                     const request_head& head,
                                     std::string_view path)
{
    for (std::size_t left = path.size() + 1; left > 0; --left)
    {
        const auto length = left - 1;
        if (!is_segment_end(path, length) &&
            rules.partial_lengths_.count(length) == 0)
        {
            continue;
        }
        const auto found =
            rules.by_prefix_.find(absl::string_view(path.data(), length));
        if (found == rules.by_prefix_.end())
        {
            continue;
        }
        if (const auto* rule = first_match(found->second, head, path))
        {
            return rule;
        }
    }
    return nullptr;
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
