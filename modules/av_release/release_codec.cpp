#include <av_release/release_codec.hpp>

#include <av_release/spec_traits.hpp>
#include <av_release/validate_release.hpp>
#include <av_yaml/yaml_field_types.hpp>

#include <openssl/sha.h>

#include <algorithm>
#include <array>
#include <limits>
#include <utility>

namespace anvilturn
{
namespace
{

constexpr yaml_limits release_yaml_limits{release_bytes_limit, 4, 200'000};
// Depth to which YAML is written as blocks, so that each object takes one line.
constexpr int release_block_depth = 2;
constexpr std::size_t digest_bytes = 8;
constexpr std::int64_t version_limit =
    std::numeric_limits<std::int64_t>::max() - 1;

yaml_value make_map()
{
    yaml_value value;
    value.kind_ = yaml_kind::map;
    return value;
}

void append(yaml_value& map, std::string_view key, yaml_value value)
{
    map.members_.push_back({std::string(key), 0, std::move(value)});
}

template <typename Spec>
void write_objects(const release& value, yaml_value& root)
{
    yaml_value list = yaml_list({});
    for (const auto& [name, spec] : value.*spec_traits<Spec>::objects)
    {
        yaml_value map = make_map();
        for (const auto& field : spec_traits<Spec>::fields())
        {
            append(map, field.key_, field.write_(spec));
        }
        list.items_.push_back(std::move(map));
    }
    append(root, spec_traits<Spec>::plural, std::move(list));
}

yaml_value write_history(const release& value)
{
    yaml_value map = make_map();
    for (const auto& [version, id] : value.recent_notes_)
    {
        append(map, std::to_string(version), yaml_scalar(id));
    }
    return map;
}

yaml_value write_changes(const release& value)
{
    yaml_value map = make_map();
    for (const auto& [key, version] : value.changed_in_)
    {
        append(map, key, yaml_scalar(std::to_string(version)));
    }
    return map;
}

std::optional<release_version> parse_version(const yaml_value& value)
{
    const auto number = parse_integer(value);
    if (!number || *number < 0 || *number > version_limit)
    {
        return std::nullopt;
    }
    return static_cast<release_version>(*number);
}

template <typename Spec>
absl::Status read_object(const yaml_value& item,
                         const yaml_location& location,
                         release& into)
{
    Spec spec;
    const auto& fields = spec_traits<Spec>::fields();
    absl::Status status = read_fields(fields, item, location, spec);
    if (status.ok())
    {
        status = require_fields(fields, item, location);
    }
    if (status.ok())
    {
        status = check_spec(spec, location);
    }
    if (status.ok() &&
        !(into.*spec_traits<Spec>::objects).emplace(spec.name_, spec).second)
    {
        status = location.refuse("'" + spec.name_ + "' is listed twice");
    }
    return status;
}

template <typename Spec>
absl::Status read_objects(const yaml_member& member,
                          const yaml_location& location,
                          release& into)
{
    if (member.value_.kind_ != yaml_kind::list)
    {
        return location.refuse("needs a list");
    }
    absl::Status status;
    for (auto item = member.value_.items_.begin();
         status.ok() && item != member.value_.items_.end();
         ++item)
    {
        yaml_location at = location;
        at.line_ = item->line_;
        status = read_object<Spec>(*item, at, into);
    }
    return status;
}

absl::Status read_history(const yaml_member& member,
                          const yaml_location& location,
                          release& into)
{
    absl::Status status = check_map(member.value_, location);
    for (auto entry = member.value_.members_.begin();
         status.ok() && entry != member.value_.members_.end();
         ++entry)
    {
        const auto version = parse_version(yaml_scalar(entry->key_));
        if (!version || *version == 0 || !is_name(entry->value_.scalar_))
        {
            return location.child(entry->key_, entry->line_)
                .refuse("allowed: a version with a note's id");
        }
        into.recent_notes_[*version] = entry->value_.scalar_;
    }
    return status;
}

absl::Status read_changes(const yaml_member& member,
                          const yaml_location& location,
                          release& into)
{
    absl::Status status = check_map(member.value_, location);
    for (auto entry = member.value_.members_.begin();
         status.ok() && entry != member.value_.members_.end();
         ++entry)
    {
        const auto version = parse_version(entry->value_);
        if (!version)
        {
            return location.child(entry->key_, entry->line_)
                .refuse("allowed: a version");
        }
        into.changed_in_[entry->key_] = *version;
    }
    return status;
}

absl::Status read_version(const yaml_member& member,
                          const yaml_location& location,
                          release& into)
{
    const auto version = parse_version(member.value_);
    into.version_ = version.value_or(0);
    return version ? absl::OkStatus() : location.refuse("allowed: a version");
}

absl::Status read_note_id(const yaml_member& member,
                          const yaml_location& location,
                          release& into)
{
    into.note_id_ = member.value_.scalar_;
    return into.note_id_.empty() || is_name(into.note_id_)
               ? absl::OkStatus()
               : location.refuse("allowed: " + std::string(name_allowed));
}

using read_function = absl::Status (*)(const yaml_member& member,
                                       const yaml_location& location,
                                       release& into);

constexpr std::array<std::pair<std::string_view, read_function>, 7> readers = {
    {{"version", read_version},
     {"note_id", read_note_id},
     {"services", read_objects<service_spec>},
     {"targets", read_objects<target_spec>},
     {"rules", read_objects<rule_spec>},
     {"changed_in", read_changes},
     {"recent_notes", read_history}}};

absl::Status read_member(const yaml_member& member,
                         const yaml_location& location,
                         release& into)
{
    const yaml_location at = location.child(member.key_, member.line_);
    for (const auto& [key, read] : readers)
    {
        if (key == member.key_)
        {
            return read(member, at, into);
        }
    }
    return at.refuse("unknown key");
}

// Returns limits that allow the choice policies of this release, whichever they
// are; see parse_release.
release_limits limits_with_policies_of(const release& value)
{
    release_limits limits;
    for (const auto& [name, spec] : value.services_)
    {
        limits.choice_policies_.push_back(spec.choice_policy_);
    }
    return limits;
}

absl::Status check_consistency(const release& value,
                               const yaml_location& location)
{
    if (!value.recent_notes_.empty() &&
        (value.recent_notes_.rbegin()->first != value.version_ ||
         value.recent_notes_.rbegin()->second != value.note_id_))
    {
        return location.refuse("the newest of recent_notes must be that of "
                               "version and note_id");
    }
    const auto error =
        find_validation_error(value, limits_with_policies_of(value));
    return error ? location.refuse(error->detail_) : absl::OkStatus();
}

} // namespace

std::string write_release(const release& value)
{
    yaml_value root = make_map();
    append(root, "version", yaml_scalar(std::to_string(value.version_)));
    append(root, "note_id", yaml_scalar(value.note_id_));
    write_objects<service_spec>(value, root);
    write_objects<target_spec>(value, root);
    write_objects<rule_spec>(value, root);
    append(root, "changed_in", write_changes(value));
    append(root, "recent_notes", write_history(value));
    return write_yaml(root, release_block_depth);
}

absl::StatusOr<release> parse_release(std::string_view text,
                                      std::string_view source)
{
    yaml_location location;
    location.file_ = std::string(source);
    location.line_ = 1;
    location.kind_ = error_kind::platform_malformed;
    const auto root = parse_yaml(text, release_yaml_limits);
    if (!root.ok())
    {
        return locate_parse_error(location, root.status());
    }
    release result;
    absl::Status status = check_map(*root, location);
    for (auto member = root->members_.begin();
         status.ok() && member != root->members_.end();
         ++member)
    {
        status = read_member(*member, location, result);
    }
    if (status.ok() && root->members_.size() != readers.size())
    {
        status = location.refuse("a key of the release is missing");
    }
    if (status.ok())
    {
        status = check_consistency(result, location);
    }
    if (!status.ok())
    {
        return status;
    }
    return result;
}

std::string digest_of(const release& value)
{
    const std::string text = write_release(value);
    std::array<unsigned char, SHA256_DIGEST_LENGTH> hash{};
    SHA256(reinterpret_cast<const unsigned char*>(text.data()),
           text.size(),
           hash.data());
    constexpr std::string_view digits = "0123456789abcdef";
    std::string result;
    for (std::size_t i = 0; i < digest_bytes; ++i)
    {
        result += digits[hash[i] / 16U];
        result += digits[hash[i] % 16U];
    }
    return result;
}

} // namespace anvilturn
