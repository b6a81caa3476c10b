#include <av_release/target_builder.hpp>

#include <av_release/spec_fields.hpp>

#include <utility>

namespace anvilturn
{

target_builder::target_builder(std::string name)
{
    spec_.name_ = std::move(name);
}

target_builder& target_builder::service(std::string value)
{
    spec_.service_ = std::move(value);
    return *this;
}

target_builder& target_builder::address(std::string value)
{
    spec_.address_ = std::move(value);
    return *this;
}

target_builder& target_builder::failure_domain(std::string value)
{
    spec_.failure_domain_ = std::move(value);
    return *this;
}

target_builder& target_builder::slots(int value)
{
    spec_.slots_ = value;
    return *this;
}

target_builder& target_builder::connection_limit(int value)
{
    spec_.connection_limit_ = value;
    return *this;
}

target_builder& target_builder::draining(bool value)
{
    spec_.draining_ = value;
    return *this;
}

absl::StatusOr<target_spec> target_builder::build() const
{
    yaml_location location;
    location.kind_ = error_kind::release_invalid;
    location.key_ = "target";
    const absl::Status status = check_spec(spec_, location);
    if (!status.ok())
    {
        return status;
    }
    return spec_;
}

} // namespace anvilturn
