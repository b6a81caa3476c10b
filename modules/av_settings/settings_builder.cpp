#include <av_settings/settings_builder.hpp>

#include <av_settings/settings_fields.hpp>

#include <set>
#include <string>

namespace anvilturn
{
namespace
{

absl::Status check_addresses(const settings& value, const yaml_place& place)
{
    std::set<std::string> seen;
    const listen_settings& listen = value.listen();
    for (const std::string& address : {listen.callers_,
                                       listen.forward_,
                                       listen.peers_,
                                       listen.operators_,
                                       listen.readiness_})
    {
        if (!address.empty() && !seen.insert(address).second)
        {
            return place.refuse(address + " is given twice; allowed: "
                                          "different addresses");
        }
    }
    return absl::OkStatus();
}

absl::Status check_peers(const settings& value, const yaml_place& place)
{
    if (value.platform().adapter_ != native_adapter)
    {
        return absl::OkStatus();
    }
    const listen_settings& listen = value.listen();
    if (listen.forward_.empty())
    {
        return place.below("forward", place.line_)
            .refuse("missing; required unless platform.adapter is set");
    }
    if (listen.peers_.empty())
    {
        return place.below("peers", place.line_)
            .refuse("missing; required unless platform.adapter is set");
    }
    return absl::OkStatus();
}

absl::Status check_shutdown(const settings& value, const yaml_place& place)
{
    const shutdown_settings& shutdown = value.shutdown();
    if (shutdown.balancer_lag_ >= shutdown.deadline_)
    {
        return place.below("balancer_lag_ms", place.line_)
            .refuse("allowed: less than shutdown.deadline_ms");
    }
    return absl::OkStatus();
}

} // namespace

settings_builder& settings_builder::vm(const vm_settings& section)
{
    settings_.vm_ = section;
    return *this;
}

settings_builder& settings_builder::listen(const listen_settings& section)
{
    settings_.listen_ = section;
    return *this;
}

settings_builder& settings_builder::platform(const platform_settings& section)
{
    settings_.platform_ = section;
    return *this;
}

settings_builder& settings_builder::request_path(const request_section& section)
{
    settings_.request_path_ = section;
    return *this;
}

settings_builder& settings_builder::services(const service_section& section)
{
    settings_.services_ = section;
    return *this;
}

settings_builder& settings_builder::shutdown(const shutdown_settings& section)
{
    settings_.shutdown_ = section;
    return *this;
}

settings_builder& settings_builder::logs(const log_settings& section)
{
    settings_.logs_ = section;
    return *this;
}

absl::StatusOr<settings> settings_builder::build(const yaml_place& root) const
{
    const settings& made = settings_;
    const auto place = [&root](std::string_view section)
    {
        return root.below(section, root.line_);
    };
    for (const absl::Status& status :
         {check_fields(vm_settings_fields(), made.vm(), place("vm")),
          check_fields(
              listen_settings_fields(), made.listen(), place("listen")),
          check_fields(
              platform_settings_fields(), made.platform(), place("platform")),
          check_fields(request_section_fields(),
                       made.request_path(),
                       place("request_path")),
          check_fields(
              service_section_fields(), made.services(), place("services")),
          check_fields(
              shutdown_settings_fields(), made.shutdown(), place("shutdown")),
          check_fields(log_settings_fields(), made.logs(), place("logs")),
          check_addresses(made, place("listen")),
          check_peers(made, place("listen")),
          check_shutdown(made, place("shutdown"))})
    {
        if (!status.ok())
        {
            return status;
        }
    }
    return settings_;
}

} // namespace anvilturn
