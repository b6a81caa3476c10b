#ifndef AV_RELEASE_RELEASE_NOTE_CODEC_HPP
#define AV_RELEASE_RELEASE_NOTE_CODEC_HPP

#include <av_release/release_note.hpp>

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace anvilturn
{

// Reads a release note from YAML of at most 1 MB. The error is release_invalid
// with file, line, key, allowed values and remedy. Whether the note can be
// applied to a release is checked by apply_note.
absl::StatusOr<release_note> parse_release_note(std::string_view text,
                                                std::string_view file_name);

// Writes a note as YAML, from which parse_release_note reads an equal note.
std::string write_release_note(const release_note& note);

} // namespace anvilturn

#endif
