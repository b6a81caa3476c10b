#include <av_core/error.hpp>

#include <absl/strings/cord.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cassert>
#include <string>

namespace anvilturn
{
namespace
{

constexpr std::string_view payload_url = "anvilturn/error_kind";

using code = absl::StatusCode;

std::vector<error_entry> make_catalogue()
{
    using kind = error_kind;
    return {
        {kind::settings_invalid,
         "settings_invalid",
         code::kInvalidArgument,
         "correct the named key and run anvilturnd --check-settings"},
        {kind::settings_unreadable,
         "settings_unreadable",
         code::kNotFound,
         "give a readable YAML file with --settings"},
        {kind::release_invalid,
         "release_invalid",
         code::kInvalidArgument,
         "correct the named part of the note and apply it again"},
        {kind::release_conflict,
         "release_conflict",
         code::kAborted,
         "read the release in force, write the note against its version and "
         "apply it again"},
        {kind::release_too_large,
         "release_too_large",
         code::kResourceExhausted,
         "withdraw services or targets that are no longer used, or split the "
         "deployment"},
        {kind::release_outcome_unknown,
         "release_outcome_unknown",
         code::kUnknown,
         "run anvilturnctl release settle with the note's id; do not apply "
         "the note again before"},
        {kind::release_missing,
         "release_missing",
         code::kNotFound,
         "apply a first release note with base version 0"},
        {kind::platform_unreachable,
         "platform_unreachable",
         code::kUnavailable,
         "check the platform's address in the settings and its status; calls "
         "are still served"},
        {kind::platform_answer_lost,
         "platform_answer_lost",
         code::kUnknown,
         "read the object back before writing it again; the write may have "
         "taken effect"},
        {kind::platform_refused,
         "platform_refused",
         code::kPermissionDenied,
         "check the platform's limits and the system's rights"},
        {kind::platform_malformed,
         "platform_malformed",
         code::kDataLoss,
         "check that the address is the platform's and that it speaks the "
         "documented protocol"},
        {kind::platform_history_gone,
         "platform_history_gone",
         code::kOutOfRange,
         "list the objects again and watch from there"},
        {kind::version_mismatch,
         "version_mismatch",
         code::kAborted,
         "read the object again before changing it"},
        {kind::peer_unreachable,
         "peer_unreachable",
         code::kUnavailable,
         "check the VM and the network between the VMs"},
        {kind::peer_malformed,
         "peer_malformed",
         code::kDataLoss,
         "bring all VMs to versions that speak the same peer protocol"},
        {kind::peer_other_deployment,
         "peer_other_deployment",
         code::kPermissionDenied,
         "give all VMs of a deployment the same deployment name, and no other "
         "VM"},
        {kind::request_malformed,
         "request_malformed",
         code::kInvalidArgument,
         "send a well-formed HTTP/1.1 request with one length"},
        {kind::request_header_too_large,
         "request_header_too_large",
         code::kResourceExhausted,
         "send fewer or shorter header fields"},
        {kind::request_body_too_large,
         "request_body_too_large",
         code::kResourceExhausted,
         "send a smaller body, or raise request_body_limit in the settings"},
        {kind::request_too_slow,
         "request_too_slow",
         code::kDeadlineExceeded,
         "send the request without long pauses"},
        {kind::service_unknown,
         "service_unknown",
         code::kNotFound,
         "check host, path and method against the rules of the release"},
        {kind::no_target_available,
         "no_target_available",
         code::kUnavailable,
         "send the call again later; operators: check the service's targets "
         "with anvilturnctl targets"},
        {kind::queue_full,
         "queue_full",
         code::kResourceExhausted,
         "send the call again after Retry-After; operators: add targets"},
        {kind::deadline_unreachable,
         "deadline_unreachable",
         code::kDeadlineExceeded,
         "send the call again with a longer deadline; it did not run"},
        {kind::deadline_exceeded,
         "deadline_exceeded",
         code::kDeadlineExceeded,
         "read back whether the call ran before sending it again"},
        {kind::call_cancelled,
         "call_cancelled",
         code::kCancelled,
         "the caller closed the connection; nothing to do"},
        {kind::vm_stopping,
         "vm_stopping",
         code::kUnavailable,
         "send the call again; another VM will take it"},
        {kind::vm_not_ready,
         "vm_not_ready",
         code::kUnavailable,
         "send the call again; this VM has no release yet"},
        {kind::retry_budget_spent,
         "retry_budget_spent",
         code::kResourceExhausted,
         "send the call again later; operators: look for failing targets"},
        {kind::quota_exceeded,
         "quota_exceeded",
         code::kResourceExhausted,
         "send the call again after Retry-After; if this lasts, ask for a "
         "higher quota of the account"},
        {kind::quota_unknown,
         "quota_unknown",
         code::kUnavailable,
         "send the call again to any VM; if this lasts, check that the VMs "
         "named as seed peers are running"},
        {kind::depth_exceeded,
         "depth_exceeded",
         code::kInvalidArgument,
         "look for a loop among the services that call each other"},
        {kind::target_unreachable,
         "target_unreachable",
         code::kUnavailable,
         "send the call again; operators: check the target"},
        {kind::target_refused,
         "target_refused",
         code::kUnavailable,
         "send the call again; the target refused it before running it"},
        {kind::target_failed,
         "target_failed",
         code::kUnavailable,
         "send the call again if it is idempotent; operators: check the "
         "target"},
        {kind::target_moved,
         "target_moved",
         code::kUnavailable,
         "send the call again; another target answers at that address now"},
        {kind::target_answer_malformed,
         "target_answer_malformed",
         code::kDataLoss,
         "read back whether the call ran; operators: check the target's "
         "answers"},
        {kind::target_answer_lost,
         "target_answer_lost",
         code::kUnknown,
         "read back whether the call ran before sending it again"},
        {kind::usage_invalid,
         "usage_invalid",
         code::kInvalidArgument,
         "see --help"},
        {kind::vm_unreachable,
         "vm_unreachable",
         code::kUnavailable,
         "check the VM's operator address, or name another VM with --vm"},
        {kind::object_unknown,
         "object_unknown",
         code::kNotFound,
         "list what exists with anvilturnctl release show"},
        {kind::api_key_unknown,
         "api_key_unknown",
         code::kUnauthenticated,
         "send a key of an account, once; operators: check the accounts of the "
         "configuration"},
        {kind::internal,
         "internal",
         code::kInternal,
         "report this with the log lines around it"},
    };
}

} // namespace

const std::vector<error_entry>& error_catalogue()
{
    static const std::vector<error_entry> catalogue = make_catalogue();
    return catalogue;
}

const error_entry& describe(error_kind kind)
{
    const auto& catalogue = error_catalogue();
    const auto entry = std::find_if(catalogue.begin(),
                                    catalogue.end(),
                                    [kind](const error_entry& row)
                                    {
                                        return row.kind_ == kind;
                                    });
    assert(entry != catalogue.end());
    return *entry;
}

absl::Status make_error(error_kind kind, std::string_view detail)
{
    const auto& entry = describe(kind);
    absl::Status status(
        entry.code_,
        absl::StrCat(
            absl::string_view(entry.name_.data(), entry.name_.size()),
            ": ",
            absl::string_view(detail.data(), detail.size()),
            "; remedy: ",
            absl::string_view(entry.remedy_.data(), entry.remedy_.size())));
    status.SetPayload(
        absl::string_view(payload_url.data(), payload_url.size()),
        absl::Cord(absl::string_view(entry.name_.data(), entry.name_.size())));
    return status;
}

std::optional<error_kind> kind_of(const absl::Status& status)
{
    const auto payload = status.GetPayload(
        absl::string_view(payload_url.data(), payload_url.size()));
    if (!payload)
    {
        return std::nullopt;
    }
    const std::string name(*payload);
    for (const auto& entry : error_catalogue())
    {
        if (entry.name_ == name)
        {
            return entry.kind_;
        }
    }
    return std::nullopt;
}

} // namespace anvilturn
