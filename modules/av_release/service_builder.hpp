#ifndef AV_RELEASE_SERVICE_BUILDER_HPP
#define AV_RELEASE_SERVICE_BUILDER_HPP

#include <av_core/milliseconds.hpp>
#include <av_model/service_spec.hpp>

#include <absl/status/statusor.h>

#include <string>

namespace anvilturn
{

// Builds a service of a release. Members that are not set keep the defaults of
// service_spec.
class service_builder
{
public:
    explicit service_builder(std::string name);

    service_builder& choice_policy(std::string value);
    service_builder& queue_limit(int value);
    service_builder& default_deadline(milliseconds value);
    service_builder& retry_ratio(double value);
    service_builder& probes_per_second(double value);
    service_builder& probe_cost(milliseconds value);
    service_builder& target_concurrency(int value);

    // Returns the service, or release_invalid with the member and the allowed
    // values.
    absl::StatusOr<service_spec> build() const;

private:
    service_spec spec_;
};

} // namespace anvilturn

#endif
