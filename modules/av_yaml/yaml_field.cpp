#include <av_yaml/yaml_field.hpp>

#include <set>

namespace anvilturn
{

absl::Status check_map(const yaml_value& map, const yaml_location& location)
{
    if (map.kind_ != yaml_kind::map)
    {
        return location.refuse("needs keys with values, such as {key: value}");
    }
    std::set<std::string_view> seen;
    for (const yaml_member& member : map.members_)
    {
        if (!seen.insert(member.key_).second)
        {
            return location.child(member.key_, member.line_)
                .refuse("is listed twice; keep one");
        }
    }
    return absl::OkStatus();
}

std::vector<std::string> keys_of(const yaml_value& map)
{
    std::vector<std::string> result;
    for (const yaml_member& member : map.members_)
    {
        result.push_back(member.key_);
    }
    return result;
}

} // namespace anvilturn
