#ifndef AV_YAML_YAML_FIELD_HPP
#define AV_YAML_YAML_FIELD_HPP

#include <av_yaml/yaml_source.hpp>
#include <av_yaml/yaml_value.hpp>

#include <absl/status/status.h>

#include <algorithm>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace anvilturn
{

// One key of a struct: how it is read, checked, written and documented. Reader,
// writer, builder and the reference for operators all use the same table of
// fields, so that they can't differ.
template <typename Struct>
struct yaml_field
{
    std::string key_;
    // The allowed values, for operators, such as "integer, 1 to 64".
    std::string allowed_;
    std::string meaning_;
    // A required field has no default.
    bool required_ = false;
    // Parses the value into the member; returns false if the value is not of
    // the member's type or does not fit into it.
    std::function<bool(const yaml_value& value, Struct& into)> read_;
    // Returns whether the member is within its range.
    std::function<bool(const Struct& from)> is_valid_;
    std::function<yaml_value(const Struct& from)> write_;
};

template <typename Struct>
using yaml_fields = std::vector<yaml_field<Struct>>;

// Returns the field of that key, or null.
template <typename Struct>
const yaml_field<Struct>* find_field(const yaml_fields<Struct>& fields,
                                     std::string_view key)
{
    const auto found = std::find_if(fields.begin(),
                                    fields.end(),
                                    [key](const yaml_field<Struct>& field)
                                    {
                                        return field.key_ == key;
                                    });
    return found == fields.end() ? nullptr : &*found;
}

// Returns the keys of a table, separated by commas, for messages.
template <typename Struct>
std::string key_list(const yaml_fields<Struct>& fields)
{
    std::string result;
    for (const auto& field : fields)
    {
        result += (result.empty() ? "" : ", ") + field.key_;
    }
    return result;
}

// Returns an error for the first member that is out of its range.
template <typename Struct>
absl::Status check_fields(const yaml_fields<Struct>& fields,
                          const Struct& from,
                          const yaml_location& location)
{
    for (const auto& field : fields)
    {
        if (!field.is_valid_(from))
        {
            return location.child(field.key_, location.line_)
                .refuse("allowed: " + field.allowed_);
        }
    }
    return absl::OkStatus();
}

// Returns an error if the value is not a map, or if a key occurs in it twice.
absl::Status check_map(const yaml_value& map, const yaml_location& location);

// Returns all keys of the map, in the order of the text.
std::vector<std::string> keys_of(const yaml_value& map);

// Reads one member into the struct. Returns an error if the table lacks its key
// or the value is not allowed.
template <typename Struct>
absl::Status read_field(const yaml_fields<Struct>& fields,
                        const yaml_member& member,
                        const yaml_location& location,
                        Struct& into)
{
    const yaml_location member_location =
        location.child(member.key_, member.line_);
    const auto* field = find_field(fields, member.key_);
    if (field == nullptr)
    {
        return member_location.refuse("unknown key; allowed: " +
                                      key_list(fields));
    }
    if (!field->read_(member.value_, into) || !field->is_valid_(into))
    {
        return member_location.refuse("allowed: " + field->allowed_);
    }
    return absl::OkStatus();
}

// Reads the members of a map into the struct, whose other members keep their
// values. Does not check that required keys are present: see require_fields.
template <typename Struct>
absl::Status read_fields(const yaml_fields<Struct>& fields,
                         const yaml_value& map,
                         const yaml_location& location,
                         Struct& into)
{
    absl::Status status = check_map(map, location);
    for (const yaml_member& member : map.members_)
    {
        if (!status.ok())
        {
            return status;
        }
        status = read_field(fields, member, location, into);
    }
    return status;
}

// Returns an error for the first required key that is missing in the map.
template <typename Struct>
absl::Status require_fields(const yaml_fields<Struct>& fields,
                            const yaml_value& map,
                            const yaml_location& location)
{
    const std::vector<std::string> present = keys_of(map);
    for (const auto& field : fields)
    {
        if (field.required_ &&
            std::find(present.begin(), present.end(), field.key_) ==
                present.end())
        {
            return location.child(field.key_, location.line_)
                .refuse("missing; allowed: " + field.allowed_);
        }
    }
    return absl::OkStatus();
}

// Writes the members that differ from their defaults, and the required ones.
template <typename Struct>
yaml_value write_fields(const yaml_fields<Struct>& fields, const Struct& from)
{
    const Struct defaults;
    yaml_value map;
    map.kind_ = yaml_kind::map;
    for (const auto& field : fields)
    {
        yaml_value value = field.write_(from);
        if (field.required_ ||
            write_yaml(value, 0) != write_yaml(field.write_(defaults), 0))
        {
            map.members_.push_back({field.key_, 0, std::move(value)});
        }
    }
    return map;
}

} // namespace anvilturn

#endif
