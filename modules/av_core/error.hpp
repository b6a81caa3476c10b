#ifndef AV_CORE_ERROR_HPP
#define AV_CORE_ERROR_HPP

#include <absl/status/status.h>

#include <optional>
#include <string_view>
#include <vector>

namespace anvilturn
{

// Kinds of error that the project reports. error_catalogue has one entry with
// name, status code and remedy for each.
enum class error_kind
{
    settings_invalid,
    settings_unreadable,
    release_invalid,
    release_conflict,
    release_too_large,
    release_outcome_unknown,
    release_missing,
    platform_unreachable,
    platform_answer_lost,
    platform_refused,
    platform_malformed,
    platform_history_gone,
    version_mismatch,
    peer_unreachable,
    peer_malformed,
    peer_other_deployment,
    request_malformed,
    request_header_too_large,
    request_body_too_large,
    request_too_slow,
    service_unknown,
    no_target_available,
    queue_full,
    deadline_unreachable,
    deadline_exceeded,
    call_cancelled,
    vm_stopping,
    vm_not_ready,
    retry_budget_spent,
    quota_exceeded,
    quota_unknown,
    depth_exceeded,
    target_unreachable,
    target_refused,
    target_failed,
    target_moved,
    target_answer_malformed,
    target_answer_lost,
    usage_invalid,
    vm_unreachable,
    object_unknown,
    api_key_unknown,
    internal
};

// One row of the error catalogue.
struct error_entry
{
    error_kind kind_;
    // The stable name that headers, logs and exit messages contain.
    std::string_view name_;
    absl::StatusCode code_;
    // What the reader of the message can do about it.
    std::string_view remedy_;
};

// Returns one entry for each kind.
const std::vector<error_entry>& error_catalogue();

// Returns the catalogue's entry for a kind.
const error_entry& describe(error_kind kind);

// Returns a status of the kind with the message "NAME: DETAIL; remedy:
// REMEDY". The detail says what was wrong and where.
absl::Status make_error(error_kind kind, std::string_view detail);

// Returns the kind of a status that make_error returned; nothing for any other
// status.
std::optional<error_kind> kind_of(const absl::Status& status);

} // namespace anvilturn

#endif
