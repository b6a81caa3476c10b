#ifndef AV_RELEASE_APPLY_NOTE_HPP
#define AV_RELEASE_APPLY_NOTE_HPP

#include <av_model/release.hpp>
#include <av_release/release_limits.hpp>
#include <av_release/release_note.hpp>

#include <absl/status/statusor.h>

#include <optional>
#include <string_view>

namespace anvilturn
{

// Returns the version created by the note with this id; std::nullopt if the
// note is not among the recent notes of the release.
std::optional<release_version> find_note(const release& value,
                                         std::string_view id);

// Returns the oldest version that a note may be written against.
release_version oldest_base(const release& value);

// Returns the current release with the note applied and the version incremented
// by one. Returns an error, and applies nothing, in these cases:
//   release_conflict   the note touches or depends on objects that changed
//                      after its base version, or the base version is older
//                      than the recorded history
//   release_invalid    the result would be inconsistent, see
//                      find_validation_error; the note adds an object that
//                      exists, or changes or withdraws one that does not; its
//                      base version does not exist yet; or a note with its id
//                      was accepted already
//   release_too_large  the result exceeds the platform's limit on a value
// A note written against an older version is applied if no object that it
// touches or depends on changed since.
absl::StatusOr<release> apply_note(const release& current,
                                   const release_note& note,
                                   const release_limits& limits);

} // namespace anvilturn

#endif
