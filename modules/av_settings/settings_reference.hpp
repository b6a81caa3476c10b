#ifndef AV_SETTINGS_SETTINGS_REFERENCE_HPP
#define AV_SETTINGS_SETTINGS_REFERENCE_HPP

#include <string>

namespace anvilturn
{

// Returns a Markdown table of all settings: key, allowed values, default and
// meaning. It is generated from the field tables that the reader uses.
std::string settings_reference();

} // namespace anvilturn

#endif
