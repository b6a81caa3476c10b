#ifndef AV_SETTINGS_SETTINGS_HPP
#define AV_SETTINGS_SETTINGS_HPP

#include <av_settings/settings_sections.hpp>

#include <tuple>

namespace anvilturn
{

class settings_builder;

// The settings of one VM. Only settings_builder can create them, which ensures
// that each member is within its documented range.
class settings
{
public:
    const vm_settings& vm() const noexcept
    {
        return vm_;
    }

    const listen_settings& listen() const noexcept
    {
        return listen_;
    }

    const platform_settings& platform() const noexcept
    {
        return platform_;
    }

    const request_settings& request_path() const noexcept
    {
        return request_path_;
    }

    const service_settings& services() const noexcept
    {
        return services_;
    }

    const fleet_limit_settings& fleet_limits() const noexcept
    {
        return fleet_limits_;
    }

    const shutdown_settings& shutdown() const noexcept
    {
        return shutdown_;
    }

    const log_settings& logs() const noexcept
    {
        return logs_;
    }

    friend bool operator==(const settings& a, const settings& b)
    {
        return std::tie(a.vm_,
                        a.listen_,
                        a.platform_,
                        a.request_path_,
                        a.services_,
                        a.fleet_limits_,
                        a.shutdown_,
                        a.logs_) == std::tie(b.vm_,
                                             b.listen_,
                                             b.platform_,
                                             b.request_path_,
                                             b.services_,
                                             b.fleet_limits_,
                                             b.shutdown_,
                                             b.logs_);
    }

    friend bool operator!=(const settings& a, const settings& b)
    {
        return !(a == b);
    }

private:
    friend class settings_builder;

    settings() = default;

    vm_settings vm_;
    listen_settings listen_;
    platform_settings platform_;
    request_settings request_path_;
    service_settings services_;
    fleet_limit_settings fleet_limits_;
    shutdown_settings shutdown_;
    log_settings logs_;
};

} // namespace anvilturn

#endif
