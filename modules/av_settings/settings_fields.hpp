#ifndef AV_SETTINGS_SETTINGS_FIELDS_HPP
#define AV_SETTINGS_SETTINGS_FIELDS_HPP

#include <av_settings/settings_sections.hpp>
#include <av_yaml/yaml_field.hpp>

namespace anvilturn
{

// Return the field table of each section of the settings.
const yaml_fields<vm_settings>& vm_settings_fields();
const yaml_fields<listen_settings>& listen_settings_fields();
const yaml_fields<platform_settings>& platform_settings_fields();
const yaml_fields<request_settings>& request_settings_fields();
const yaml_fields<service_settings>& service_settings_fields();
const yaml_fields<fleet_limit_settings>& fleet_limit_settings_fields();
const yaml_fields<shutdown_settings>& shutdown_settings_fields();
const yaml_fields<log_settings>& log_settings_fields();

} // namespace anvilturn

#endif
