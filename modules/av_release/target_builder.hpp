#ifndef AV_RELEASE_TARGET_BUILDER_HPP
#define AV_RELEASE_TARGET_BUILDER_HPP

#include <av_model/target_spec.hpp>

#include <absl/status/statusor.h>

#include <string>

namespace anvilturn
{

// Builds a target of a release. Members that are not set keep the defaults of
// target_spec.
class target_builder
{
public:
    explicit target_builder(std::string name);

    target_builder& service(std::string value);
    target_builder& address(std::string value);
    target_builder& failure_domain(std::string value);
    target_builder& slots(int value);
    target_builder& connection_limit(int value);
    target_builder& draining(bool value);

    // Returns the target, or release_invalid with the member and the allowed
    // values.
    absl::StatusOr<target_spec> build() const;

private:
    target_spec spec_;
};

} // namespace anvilturn

#endif
