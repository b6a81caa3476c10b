#ifndef AV_RELEASE_ACCEPTANCE_ACTION_HPP
#define AV_RELEASE_ACCEPTANCE_ACTION_HPP

#include <av_core/milliseconds.hpp>
#include <av_model/release.hpp>
#include <av_release/acceptance_event.hpp>

#include <absl/status/status.h>

#include <string>
#include <variant>

namespace anvilturn
{

// Action: wait for the delay, then read the head.
struct read_head
{
    milliseconds delay_{0.0};
};

// Action: write the head if its version is still the expected one.
struct write_head
{
    std::string text_;
    head_version expected_ = 0;
};

// Outcome of an acceptance.
enum class acceptance_outcome
{
    // The note was accepted as version_, by this attempt or an earlier one.
    accepted,
    // The note was not accepted, and no write of this attempt can still take
    // effect.
    not_accepted,
    // The note may have been accepted; call start_settlement to find out.
    unknown
};

// The acceptance has ended with this result.
struct finish_acceptance
{
    acceptance_outcome outcome_ = acceptance_outcome::unknown;
    // The version created by the note, if it was accepted.
    release_version version_ = 0;
    // Why the note was not accepted or its outcome is unknown; OK if it was
    // accepted.
    absl::Status status_;
    // The newest release read or written; version 0 if there was none. The VM
    // puts it in force if its version is higher than that in force.
    release newest_;
};

// What the caller of step_acceptance must do next.
using acceptance_action =
    std::variant<read_head, write_head, finish_acceptance>;

// Returns the name of an outcome, as shown to operators.
std::string_view name_of(acceptance_outcome outcome) noexcept;

} // namespace anvilturn

#endif
