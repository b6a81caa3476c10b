#include <av_settings/settings_reader.hpp>

#include <av_settings/settings_builder.hpp>
#include <av_settings/settings_fields.hpp>

#include <algorithm>
#include <array>
#include <fstream>
#include <iterator>

namespace anvilturn
{
namespace
{

constexpr yaml_limits settings_limits{65'536, 4, 1000};
constexpr std::array<std::string_view, 8> section_names = {"vm",
                                                           "listen",
                                                           "platform",
                                                           "request_path",
                                                           "services",
                                                           "fleet_limits",
                                                           "shutdown",
                                                           "logs"};
constexpr std::array<std::string_view, 3> required_sections = {
    "vm", "listen", "platform"};

const yaml_member* find_member(const yaml_value& map, std::string_view key)
{
    for (const yaml_member& member : map.members_)
    {
        if (member.key_ == key)
        {
            return &member;
        }
    }
    return nullptr;
}

absl::Status check_sections(const yaml_value& root,
                            const yaml_location& location)
{
    absl::Status status = check_map(root, location);
    if (!status.ok())
    {
        return status;
    }
    for (const yaml_member& member : root.members_)
    {
        if (std::find(section_names.begin(),
                      section_names.end(),
                      member.key_) == section_names.end())
        {
            return location.child(member.key_, member.line_)
                .refuse("unknown section; allowed: vm, listen, platform, "
                        "request_path, services, fleet_limits, shutdown, logs");
        }
    }
    for (const std::string_view name : required_sections)
    {
        if (find_member(root, name) == nullptr)
        {
            return location.child(name, location.line_)
                .refuse("missing; this section has no defaults");
        }
    }
    return absl::OkStatus();
}

// Reads one section; keeps its defaults if the file does not contain it.
template <typename Section>
absl::Status read_section(const yaml_value& root,
                          const yaml_location& location,
                          std::string_view name,
                          const yaml_fields<Section>& fields,
                          Section& into)
{
    const yaml_member* member = find_member(root, name);
    if (member == nullptr)
    {
        return absl::OkStatus();
    }
    const yaml_location section_location = location.child(name, member->line_);
    absl::Status status =
        read_fields(fields, member->value_, section_location, into);
    if (status.ok())
    {
        status = require_fields(fields, member->value_, section_location);
    }
    return status;
}

absl::StatusOr<settings> read_sections(const yaml_value& root,
                                       const yaml_location& location)
{
    vm_settings vm;
    listen_settings listen;
    platform_settings platform;
    request_settings request_path;
    service_settings services;
    fleet_limit_settings fleet_limits;
    shutdown_settings shutdown;
    log_settings logs;
    for (const absl::Status& status :
         {read_section(root, location, "vm", vm_settings_fields(), vm),
          read_section(
              root, location, "listen", listen_settings_fields(), listen),
          read_section(
              root, location, "platform", platform_settings_fields(), platform),
          read_section(root,
                       location,
                       "request_path",
                       request_settings_fields(),
                       request_path),
          read_section(
              root, location, "services", service_settings_fields(), services),
          read_section(root,
                       location,
                       "fleet_limits",
                       fleet_limit_settings_fields(),
                       fleet_limits),
          read_section(
              root, location, "shutdown", shutdown_settings_fields(), shutdown),
          read_section(root, location, "logs", log_settings_fields(), logs)})
    {
        if (!status.ok())
        {
            return status;
        }
    }
    return settings_builder()
        .vm(vm)
        .listen(listen)
        .platform(platform)
        .request_path(request_path)
        .services(services)
        .fleet_limits(fleet_limits)
        .shutdown(shutdown)
        .logs(logs)
        .build(location);
}

} // namespace

absl::StatusOr<settings> parse_settings(std::string_view text,
                                        std::string_view file_name)
{
    yaml_location location;
    location.file_ = std::string(file_name);
    location.line_ = 1;
    const auto root = parse_yaml(text, settings_limits);
    if (!root.ok())
    {
        return locate_parse_error(location, root.status());
    }
    const absl::Status status = check_sections(*root, location);
    if (!status.ok())
    {
        return status;
    }
    return read_sections(*root, location);
}

absl::StatusOr<settings> read_settings_file(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    std::string text;
    if (file)
    {
        // One byte more than allowed, so that a longer file is detected.
        text.resize(settings_limits.bytes_ + 1);
        file.read(text.data(), static_cast<std::streamsize>(text.size()));
        text.resize(static_cast<std::size_t>(file.gcount()));
    }
    if (!file && !file.eof())
    {
        return make_error(error_kind::settings_unreadable, path);
    }
    return parse_settings(text, path);
}

} // namespace anvilturn
