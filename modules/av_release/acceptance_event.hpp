#ifndef AV_RELEASE_ACCEPTANCE_EVENT_HPP
#define AV_RELEASE_ACCEPTANCE_EVENT_HPP

#include <absl/status/statusor.h>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace anvilturn
{

// Version that the platform gives to the object that holds the release; 0 if
// the object does not exist. Not the version of the release itself.
using head_version = std::uint64_t;

// The platform's object that holds the current release, as read.
struct release_head
{
    head_version version_ = 0;
    // The release as written by write_release.
    std::string text_;
};

// Result of a read of the head: std::nullopt if it does not exist.
struct head_read
{
    absl::StatusOr<std::optional<release_head>> result_;
};

// Result of a conditional write of the head: its new version.
struct head_written
{
    absl::StatusOr<head_version> result_;
};

// Input of step_acceptance: the result of the last action.
using acceptance_event = std::variant<head_read, head_written>;

} // namespace anvilturn

#endif
