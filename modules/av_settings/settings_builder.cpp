#include <av_settings/settings_builder.hpp>

#include <av_settings/settings_fields.hpp>

#include <set>
#include <string>

namespace anvilturn
{
namespace
{

absl::Status check_addresses(const settings& value,
                             const yaml_location& location)
{
    std::set<std::string> seen;
    const listen_settings& listen = value.listen();
    for (const std::string& address : {listen.callers_,
                                       listen.forward_,
                                       listen.peers_,
                                       listen.operators_,
                                       listen.readiness_,
                                       listen.grants_})
    {
        if (!address.empty() && !seen.insert(address).second)
        {
            return location.refuse(address + " is listed twice; allowed: "
                                             "different addresses");
        }
    }
    return absl::OkStatus();
}

absl::Status check_peers(const settings& value, const yaml_location& location)
{
    if (value.platform().adapter_ != native_adapter)
    {
        return absl::OkStatus();
    }
    const listen_settings& listen = value.listen();
    if (listen.forward_.empty())
    {
        return location.child("forward", location.line_)
            .refuse("missing; required unless platform.adapter is set");
    }
    if (listen.peers_.empty())
    {
        return location.child("peers", location.line_)
            .refuse("missing; required unless platform.adapter is set");
    }
    return absl::OkStatus();
}

// Without the address a VM would get no permits, and refuse the calls of all
// limited accounts.
absl::Status check_grants(const settings& value, const yaml_location& location)
{
    if (value.fleet_limits().is_enabled() && value.listen().grants_.empty())
    {
        return location.child("grants", location.line_)
            .refuse("missing; required with limits in fleet_limits");
    }
    return absl::OkStatus();
}

absl::Status check_shutdown(const settings& value,
                            const yaml_location& location)
{
    const shutdown_settings& shutdown = value.shutdown();
    if (shutdown.balancer_lag_ >= shutdown.deadline_)
    {
        return location.child("balancer_lag_ms", location.line_)
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

settings_builder&
settings_builder::request_path(const request_settings& section)
{
    settings_.request_path_ = section;
    return *this;
}

settings_builder& settings_builder::services(const service_settings& section)
{
    settings_.services_ = section;
    return *this;
}

settings_builder&
settings_builder::fleet_limits(const fleet_limit_settings& section)
{
    settings_.fleet_limits_ = section;
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

absl::StatusOr<settings>
settings_builder::build(const yaml_location& root) const
{
    const settings& unchecked = settings_;
    const auto location = [&root](std::string_view section)
    {
        return root.child(section, root.line_);
    };
    for (const absl::Status& status :
         {check_fields(vm_settings_fields(), unchecked.vm(), location("vm")),
          check_fields(
              listen_settings_fields(), unchecked.listen(), location("listen")),
          check_fields(platform_settings_fields(),
                       unchecked.platform(),
                       location("platform")),
          check_fields(request_settings_fields(),
                       unchecked.request_path(),
                       location("request_path")),
          check_fields(service_settings_fields(),
                       unchecked.services(),
                       location("services")),
          check_fields(fleet_limit_settings_fields(),
                       unchecked.fleet_limits(),
                       location("fleet_limits")),
          check_fields(shutdown_settings_fields(),
                       unchecked.shutdown(),
                       location("shutdown")),
          check_fields(
              log_settings_fields(), unchecked.logs(), location("logs")),
          check_addresses(unchecked, location("listen")),
          check_peers(unchecked, location("listen")),
          check_grants(unchecked, location("listen")),
          check_shutdown(unchecked, location("shutdown"))})
    {
        if (!status.ok())
        {
            return status;
        }
    }
    return settings_;
}

} // namespace anvilturn
