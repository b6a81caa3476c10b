#ifndef AV_RELEASE_SPEC_FIELDS_HPP
#define AV_RELEASE_SPEC_FIELDS_HPP

#include <av_model/rule_spec.hpp>
#include <av_model/service_spec.hpp>
#include <av_model/target_spec.hpp>
#include <av_yaml/yaml_field.hpp>

#include <string>

namespace anvilturn
{

// Return the YAML fields of each kind of object of a release.
const yaml_fields<service_spec>& service_fields();
const yaml_fields<target_spec>& target_fields();
const yaml_fields<rule_spec>& rule_fields();

// Return an error of the kind that the location gives if a member is out of its
// range, or if members are inconsistent. The message names the location.
absl::Status check_spec(const service_spec& spec,
                        const yaml_location& location);
absl::Status check_spec(const target_spec& spec, const yaml_location& location);
absl::Status check_spec(const rule_spec& spec, const yaml_location& location);

// Returns the operators' reference of all members, as Markdown tables.
std::string release_reference();

} // namespace anvilturn

#endif
