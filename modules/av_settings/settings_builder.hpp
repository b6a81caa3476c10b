#ifndef AV_SETTINGS_SETTINGS_BUILDER_HPP
#define AV_SETTINGS_SETTINGS_BUILDER_HPP

#include <av_settings/settings.hpp>
#include <av_yaml/yaml_source.hpp>

#include <absl/status/statusor.h>

namespace anvilturn
{

// Builds settings section by section. The sections vm, listen and platform are
// required; the others have defaults.
class settings_builder
{
public:
    settings_builder& vm(const vm_settings& section);
    settings_builder& listen(const listen_settings& section);
    settings_builder& platform(const platform_settings& section);
    settings_builder& request_path(const request_settings& section);
    settings_builder& services(const service_settings& section);
    settings_builder& fleet_limits(const fleet_limit_settings& section);
    settings_builder& shutdown(const shutdown_settings& section);
    settings_builder& logs(const log_settings& section);

    // Returns the settings, or settings_invalid with the first key that is out
    // of range or conflicts with another one. For settings from a file, the
    // error also contains the location.
    absl::StatusOr<settings> build(const yaml_location& location = {}) const;

private:
    settings settings_;
};

} // namespace anvilturn

#endif
