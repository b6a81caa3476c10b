#include <av_release/validate_release.hpp>

#include <av_release/spec_traits.hpp>

#include <algorithm>
#include <map>

namespace anvilturn
{
namespace
{

using validation_result = std::optional<validation_error>;

int condition_count(const rule_spec& rule)
{
    return (rule.host_.empty() ? 0 : 1) + (rule.methods_.empty() ? 0 : 1) +
           (rule.header_name_.empty() ? 0 : 1);
}

bool hosts_overlap(const rule_spec& a, const rule_spec& b)
{
    return a.host_.empty() || b.host_.empty() || a.host_ == b.host_;
}

bool methods_overlap(const rule_spec& a, const rule_spec& b)
{
    return a.methods_.empty() || b.methods_.empty() ||
           std::any_of(a.methods_.begin(),
                       a.methods_.end(),
                       [&b](const std::string& method)
                       {
                           return std::find(b.methods_.begin(),
                                            b.methods_.end(),
                                            method) != b.methods_.end();
                       });
}

char to_lower(char c)
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

bool is_same_header_name(const std::string& a, const std::string& b)
{
    return std::equal(a.begin(),
                      a.end(),
                      b.begin(),
                      b.end(),
                      [](char x, char y)
                      {
                          return to_lower(x) == to_lower(y);
                      });
}

bool headers_overlap(const rule_spec& a, const rule_spec& b)
{
    return a.header_name_.empty() || b.header_name_.empty() ||
           !is_same_header_name(a.header_name_, b.header_name_) ||
           a.header_value_ == b.header_value_;
}

// Finds the first object that refers to a service which does not exist.
template <typename Spec>
validation_result find_unknown_service(const release& value)
{
    for (const auto& [name, spec] : value.*spec_traits<Spec>::objects)
    {
        if (value.services_.count(spec.service_) == 0)
        {
            const std::string kind(spec_traits<Spec>::singular);
            return validation_error{
                kind + " '" + name + "' names service '" + spec.service_ +
                    "', which the release does not have; add that service, "
                    "or withdraw or change the " +
                    kind,
                {object_key(kind, name), object_key("service", spec.service_)}};
        }
    }
    return std::nullopt;
}

validation_result find_unknown_policy(const release& value,
                                      const release_limits& limits)
{
    const auto& known = limits.choice_policies_;
    for (const auto& [name, spec] : value.services_)
    {
        if (std::find(known.begin(), known.end(), spec.choice_policy_) ==
            known.end())
        {
            std::string names;
            for (const std::string& policy : known)
            {
                names += (names.empty() ? "" : ", ") + policy;
            }
            return validation_error{"service '" + name + "': choice policy '" +
                                        spec.choice_policy_ +
                                        "' is unknown; allowed: " + names,
                                    {object_key("service", name)}};
        }
    }
    return std::nullopt;
}

validation_result find_duplicate_address(const release& value)
{
    std::map<std::string, std::string> owners;
    for (const auto& [name, spec] : value.targets_)
    {
        const auto [owner, is_new] = owners.emplace(spec.address_, name);
        if (!is_new)
        {
            return validation_error{"targets '" + owner->second + "' and '" +
                                        name + "' have the same address " +
                                        spec.address_ +
                                        "; give each target its own",
                                    {object_key("target", owner->second),
                                     object_key("target", name)}};
        }
    }
    return std::nullopt;
}

validation_result find_ambiguous_rules(const release& value)
{
    for (auto a = value.rules_.begin(); a != value.rules_.end(); ++a)
    {
        for (auto b = std::next(a); b != value.rules_.end(); ++b)
        {
            if (are_ambiguous(a->second, b->second))
            {
                return validation_error{"rules '" + a->first + "' and '" +
                                            b->first +
                                            "' overlap with equal precedence; "
                                            "give one a longer path "
                                            "prefix or one more condition",
                                        {object_key("rule", a->first),
                                         object_key("rule", b->first)}};
            }
        }
    }
    return std::nullopt;
}

} // namespace

bool are_ambiguous(const rule_spec& a, const rule_spec& b)
{
    return a.path_prefix_ == b.path_prefix_ &&
           condition_count(a) == condition_count(b) && hosts_overlap(a, b) &&
           methods_overlap(a, b) && headers_overlap(a, b);
}

std::optional<validation_error>
find_validation_error(const release& value, const release_limits& limits)
{
    if (auto found = find_unknown_service<target_spec>(value))
    {
        return found;
    }
    if (auto found = find_unknown_service<rule_spec>(value))
    {
        return found;
    }
    if (auto found = find_unknown_policy(value, limits))
    {
        return found;
    }
    if (auto found = find_duplicate_address(value))
    {
        return found;
    }
    return find_ambiguous_rules(value);
}

} // namespace anvilturn
