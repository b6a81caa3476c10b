#ifndef STANDINS_COMMON_YAML_VALUES_HPP
#define STANDINS_COMMON_YAML_VALUES_HPP

#include <av_core/milliseconds.hpp>

#include <yaml-cpp/yaml.h>

namespace anvilturn
{

// Replaces the value by that of the key if the node has it. Throws
// YAML::Exception if that is of another type, and keeps the value.
template <typename Value>
void read_if_present(const YAML::Node& node, const char* key, Value& value)
{
    if (node[key])
    {
        value = node[key].as<Value>();
    }
}

// The same for a time in milliseconds.
inline void
read_if_present(const YAML::Node& node, const char* key, milliseconds& value)
{
    if (node[key])
    {
        value = milliseconds(node[key].as<double>());
    }
}

} // namespace anvilturn

#endif
