#include <av_release/rule_builder.hpp>

#include <av_release/spec_fields.hpp>

#include <utility>

namespace anvilturn
{

rule_builder::rule_builder(std::string name)
{
    spec_.name_ = std::move(name);
}

rule_builder& rule_builder::host(std::string value)
{
    spec_.host_ = std::move(value);
    return *this;
}

rule_builder& rule_builder::path_prefix(std::string value)
{
    spec_.path_prefix_ = std::move(value);
    return *this;
}

rule_builder& rule_builder::methods(std::vector<std::string> value)
{
    spec_.methods_ = std::move(value);
    return *this;
}

rule_builder& rule_builder::header(std::string name, std::string value)
{
    spec_.header_name_ = std::move(name);
    spec_.header_value_ = std::move(value);
    return *this;
}

rule_builder& rule_builder::service(std::string value)
{
    spec_.service_ = std::move(value);
    return *this;
}

rule_builder& rule_builder::idempotent(bool value)
{
    spec_.idempotent_ = value;
    return *this;
}

rule_builder& rule_builder::traffic(traffic_class value)
{
    spec_.class_ = value;
    return *this;
}

absl::StatusOr<rule_spec> rule_builder::build() const
{
    yaml_location location;
    location.kind_ = error_kind::release_invalid;
    location.key_ = "rule";
    const absl::Status status = check_spec(spec_, location);
    if (!status.ok())
    {
        return status;
    }
    return spec_;
}

} // namespace anvilturn
