#include <av_release/service_builder.hpp>

#include <av_release/spec_fields.hpp>

#include <utility>

namespace anvilturn
{

service_builder::service_builder(std::string name)
{
    spec_.name_ = std::move(name);
}

service_builder& service_builder::choice_policy(std::string value)
{
    spec_.choice_policy_ = std::move(value);
    return *this;
}

service_builder& service_builder::queue_limit(int value)
{
    spec_.queue_limit_ = value;
    return *this;
}

service_builder& service_builder::default_deadline(milliseconds value)
{
    spec_.default_deadline_ = value;
    return *this;
}

service_builder& service_builder::retry_ratio(double value)
{
    spec_.retry_ratio_ = value;
    return *this;
}

service_builder& service_builder::probes_per_second(double value)
{
    spec_.probes_per_second_ = value;
    return *this;
}

service_builder& service_builder::probe_cost(milliseconds value)
{
    spec_.probe_cost_ = value;
    return *this;
}

service_builder& service_builder::target_concurrency(int value)
{
    spec_.target_concurrency_ = value;
    return *this;
}

absl::StatusOr<service_spec> service_builder::build() const
{
    yaml_location location;
    location.kind_ = error_kind::release_invalid;
    location.key_ = "service";
    const absl::Status status = check_spec(spec_, location);
    if (!status.ok())
    {
        return status;
    }
    return spec_;
}

} // namespace anvilturn
