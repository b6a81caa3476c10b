// Purpose: reads YAML under limits into plain values that know their line,
// writes them, and drives readers and writers of structs from one table of
// fields.
// Depends on: av_core; yaml-cpp (behind the .cpp files only).

#ifndef AV_YAML_AV_YAML_HPP
#define AV_YAML_AV_YAML_HPP

#include <av_yaml/yaml_field.hpp>
#include <av_yaml/yaml_field_types.hpp>
#include <av_yaml/yaml_limits.hpp>
#include <av_yaml/yaml_source.hpp>
#include <av_yaml/yaml_value.hpp>

#endif
