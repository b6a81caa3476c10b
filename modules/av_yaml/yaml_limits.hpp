#ifndef AV_YAML_YAML_LIMITS_HPP
#define AV_YAML_YAML_LIMITS_HPP

#include <cstddef>

namespace anvilturn
{

// Limits of a YAML text, checked while it is parsed.
struct yaml_limits
{
    std::size_t bytes_ = 1'000'000;
    // Levels of nested maps and lists.
    std::size_t depth_ = 8;
    // Scalars, maps and lists in the whole text.
    std::size_t values_ = 200'000;
};

} // namespace anvilturn

#endif
