#ifndef AV_YAML_YAML_SOURCE_HPP
#define AV_YAML_YAML_SOURCE_HPP

#include <av_core/error.hpp>

#include <absl/status/status.h>

#include <string>
#include <string_view>

namespace anvilturn
{

// Location of a value, for error messages: file, line and path of keys.
struct yaml_location
{
    // Empty for a value that was not read from a file.
    std::string file_;
    int line_ = 0;
    // Path of keys, such as "listen.callers".
    std::string key_;
    // Kind of the errors that refuse returns.
    error_kind kind_ = error_kind::settings_invalid;

    // Returns the location of a key within the map at this one.
    yaml_location child(std::string_view key, int line) const;

    // Returns an error of kind_ with the detail "FILE:LINE: key 'KEY': WHAT";
    // leaves out file and line, or key, if empty.
    absl::Status refuse(std::string_view what) const;
};

// Converts an error of parse_yaml to an error at the location, with the line
// that its message begins with.
absl::Status locate_parse_error(const yaml_location& location,
                                const absl::Status& status);

} // namespace anvilturn

#endif
