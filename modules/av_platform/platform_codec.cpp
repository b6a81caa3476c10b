#include <av_platform/platform_codec.hpp>

#include <av_core/error.hpp>
#include <av_yaml/yaml_field_types.hpp>

#include <algorithm>
#include <optional>
#include <string>

namespace anvilturn
{
namespace
{

// JSON is read as YAML, of which it is a part.
constexpr yaml_limits json_limits{1'100'000, 4, 200'000};
constexpr std::size_t key_bytes_limit = 512;

absl::Status malformed(const std::string& what)
{
    return make_error(error_kind::platform_malformed, what);
}

// Returns the member of that key, or null if the value has none.
const yaml_value* find(const yaml_value& map, std::string_view key)
{
    const auto found = std::find_if(map.members_.begin(),
                                    map.members_.end(),
                                    [key](const yaml_member& member)
                                    {
                                        return member.key_ == key;
                                    });
    return found == map.members_.end() ? nullptr : &found->value_;
}

std::optional<std::uint64_t> find_count(const yaml_value& map,
                                        std::string_view key)
{
    const yaml_value* value = find(map, key);
    const auto number = value == nullptr ? std::nullopt : parse_integer(*value);
    if (!number || *number < 0)
    {
        return std::nullopt;
    }
    return static_cast<std::uint64_t>(*number);
}

std::string find_text(const yaml_value& map, std::string_view key)
{
    const yaml_value* value = find(map, key);
    return value == nullptr ? std::string() : value->scalar_;
}

bool is_key(const std::string& text)
{
    return !text.empty() && text.size() <= key_bytes_limit &&
           is_printable(text, key_bytes_limit);
}

// Returns the list of that key in the answer.
absl::StatusOr<yaml_value>
parse_rows(std::string_view json, std::string_view key, yaml_value& root)
{
    auto parsed = parse_yaml(json, json_limits);
    if (!parsed.ok())
    {
        return malformed("not JSON: " + std::string(parsed.status().message()));
    }
    root = *std::move(parsed);
    const yaml_value* rows = find(root, key);
    if (rows == nullptr || rows->kind_ != yaml_kind::list)
    {
        return malformed("the answer has no list '" + std::string(key) + "'");
    }
    return *rows;
}

absl::StatusOr<platform_change> read_change(const yaml_value& row)
{
    platform_change change;
    const auto version = find_count(row, "version");
    const yaml_value* deleted = find(row, "deleted");
    const auto is_deleted = deleted == nullptr ? std::optional<bool>(false)
                                               : parse_boolean(*deleted);
    change.key_ = find_text(row, "key");
    if (!version || !is_deleted || !is_key(change.key_))
    {
        return malformed("a row lacks key, version or deleted");
    }
    change.version_ = *version;
    change.deleted_ = *is_deleted;
    return change;
}

absl::StatusOr<platform_changes> parse_rows_of_changes(std::string_view json,
                                                       std::string_view key)
{
    yaml_value root;
    const auto rows = parse_rows(json, key, root);
    if (!rows.ok())
    {
        return rows.status();
    }
    platform_changes result;
    const auto revision = find_count(root, "revision");
    if (!revision)
    {
        return malformed("the answer has no revision");
    }
    result.revision_ = *revision;
    for (const yaml_value& row : rows->items_)
    {
        auto change = read_change(row);
        if (!change.ok())
        {
            return change.status();
        }
        result.events_.push_back(*std::move(change));
    }
    return result;
}

absl::StatusOr<platform_vm> read_vm(const yaml_value& row)
{
    platform_vm vm;
    vm.name_ = find_text(row, "name");
    vm.failure_domain_ = find_text(row, "failure_domain");
    vm.peer_address_ = find_text(row, "peer_address");
    const std::string state = find_text(row, "state");
    vm.leaving_ = state == "leaving";
    if (!is_name(vm.name_) || !is_name(vm.failure_domain_) ||
        !is_address(vm.peer_address_) || (state != "live" && !vm.leaving_))
    {
        return malformed("a VM needs name, failure_domain, peer_address as IP "
                         "number and port, and state live or leaving");
    }
    return vm;
}

} // namespace

absl::StatusOr<object_version> parse_etag(std::string_view text)
{
    const bool is_quoted =
        text.size() > 2 && text.front() == '"' && text.back() == '"';
    const auto number =
        is_quoted ? parse_integer(yaml_scalar(text.substr(1, text.size() - 2)))
                  : std::nullopt;
    if (!number || *number <= 0)
    {
        return malformed("ETag is no quoted positive number");
    }
    return static_cast<object_version>(*number);
}

absl::StatusOr<platform_listing> parse_listing(std::string_view json)
{
    const auto rows = parse_rows_of_changes(json, "objects");
    if (!rows.ok())
    {
        return rows.status();
    }
    platform_listing result;
    result.revision_ = rows->revision_;
    for (const platform_change& row : rows->events_)
    {
        result.objects_[row.key_] = row.version_;
    }
    return result;
}

absl::StatusOr<platform_changes> parse_changes(std::string_view json)
{
    return parse_rows_of_changes(json, "events");
}

absl::StatusOr<std::vector<platform_vm>> parse_vm_list(std::string_view json)
{
    yaml_value root;
    const auto rows = parse_rows(json, "vms", root);
    if (!rows.ok())
    {
        return rows.status();
    }
    std::vector<platform_vm> result;
    for (const yaml_value& row : rows->items_)
    {
        auto vm = read_vm(row);
        if (!vm.ok())
        {
            return vm.status();
        }
        result.push_back(*std::move(vm));
    }
    return result;
}

} // namespace anvilturn
