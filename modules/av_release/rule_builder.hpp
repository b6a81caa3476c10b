#ifndef AV_RELEASE_RULE_BUILDER_HPP
#define AV_RELEASE_RULE_BUILDER_HPP

#include <av_model/rule_spec.hpp>

#include <absl/status/statusor.h>

#include <string>
#include <vector>

namespace anvilturn
{

// Builds a rule of a release. Members that are not set keep the defaults of
// rule_spec.
class rule_builder
{
public:
    explicit rule_builder(std::string name);

    rule_builder& host(std::string value);
    rule_builder& path_prefix(std::string value);
    rule_builder& methods(std::vector<std::string> value);
    // Matches requests whose header field has exactly this value.
    rule_builder& header(std::string name, std::string value);
    rule_builder& service(std::string value);
    rule_builder& idempotent(bool value);
    rule_builder& traffic(traffic_class value);

    // Returns the rule, or release_invalid with the member and the allowed
    // values.
    absl::StatusOr<rule_spec> build() const;

private:
    rule_spec spec_;
};

} // namespace anvilturn

#endif
