// Purpose: reads YAML text of limited size into plain values with line numbers,
// writes such values, and reads and writes structs by a table of their fields.
// Depends on: av_core; yaml-cpp (behind the .cpp files only).

#ifndef AV_YAML_AV_YAML_HPP
#define AV_YAML_AV_YAML_HPP

#include <av_yaml/yaml_field.hpp>
#include <av_yaml/yaml_field_types.hpp>
#include <av_yaml/yaml_limits.hpp>
#include <av_yaml/yaml_source.hpp>
#include <av_yaml/yaml_value.hpp>

#endif
