#ifndef AV_SETTINGS_SETTINGS_READER_HPP
#define AV_SETTINGS_SETTINGS_READER_HPP

#include <av_settings/settings.hpp>

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace anvilturn
{

// Parses settings from YAML. Returns settings_invalid with the file, the line,
// the key, the allowed values and the remedy, also for unknown keys, duplicate
// keys and missing required keys.
absl::StatusOr<settings> parse_settings(std::string_view text,
                                        std::string_view file_name);

// Reads and parses a file. Returns settings_unreadable if it can't be read.
absl::StatusOr<settings> read_settings_file(const std::string& path);

} // namespace anvilturn

#endif
