#include <av_settings/settings_reference.hpp>

#include <av_settings/settings_fields.hpp>

#include <string_view>

namespace anvilturn
{
namespace
{

template <typename Section>
std::string rows(std::string_view section, const yaml_fields<Section>& fields)
{
    const Section defaults;
    std::string result;
    for (const auto& field : fields)
    {
        result += "| `" + std::string(section) + "." + field.key_ + "` | ";
        result += field.allowed_ + " | ";
        const std::string value = field.write_(defaults).scalar_;
        result += field.required_ ? "required" : value.empty() ? "none" : value;
        result += " | " + field.meaning_ + " |\n";
    }
    return result;
}

} // namespace

std::string settings_reference()
{
    return "| key | allowed | default | meaning |\n|---|---|---|---|\n" +
           rows("vm", vm_settings_fields()) +
           rows("listen", listen_settings_fields()) +
           rows("platform", platform_settings_fields()) +
           rows("request_path", request_settings_fields()) +
           rows("services", service_settings_fields()) +
           rows("fleet_limits", fleet_limit_settings_fields()) +
           rows("shutdown", shutdown_settings_fields()) +
           rows("logs", log_settings_fields());
}

} // namespace anvilturn
