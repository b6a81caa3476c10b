#ifndef AV_CLIENT_TEXT_OUTPUT_HPP
#define AV_CLIENT_TEXT_OUTPUT_HPP

#include <string>
#include <string_view>

namespace anvilturn
{

// Formats a VM's YAML response as human-readable text: a list of maps becomes a
// table with a column for each key, each other member a line. A text that is
// not a YAML map or list of maps is returned unchanged.
std::string format_as_text(std::string_view yaml);

} // namespace anvilturn

#endif
