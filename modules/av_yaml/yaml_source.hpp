#ifndef AV_YAML_YAML_SOURCE_HPP
#define AV_YAML_YAML_SOURCE_HPP

#include <av_core/error.hpp>

#include <absl/status/status.h>

#include <string>
#include <string_view>

namespace anvilturn
{

// Where a value stands, for messages: file, line and the path of keys.
struct yaml_location
{
    // Empty for a value that was not read from a text.
    std::string file_;
    int line_ = 0;
    // Such as "listen.callers".
    std::string key_;
    error_kind kind_ = error_kind::settings_invalid;

    // Returns the place of a key below this one.
    yaml_location below(std::string_view key, int line) const;

    // Returns an error "FILE:LINE: key 'KEY': WHAT".
    absl::Status refuse(std::string_view what) const;
};

// Returns the error for a text that parse_yaml refused: its line moves into
// the place.
absl::Status locate_parse_error(const yaml_location& place,
                                const absl::Status& status);

} // namespace anvilturn

#endif
