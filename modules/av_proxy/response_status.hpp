#ifndef AV_PROXY_RESPONSE_STATUS_HPP
#define AV_PROXY_RESPONSE_STATUS_HPP

#include <av_core/error.hpp>

namespace anvilturn
{

// Returns the HTTP status that callers get with a reason.
int status_of(error_kind reason);

// Returns the reason to name when a call did not run and ends for a cause that
// by itself would mean "unknown", because nothing of it had left yet.
error_kind not_run_reason(error_kind cause);

// Returns the reason to name when a call that may have run ends for a cause
// that by itself would mean "not run".
error_kind unknown_outcome_reason(error_kind cause);

// Returns whether a failed attempt speaks against its target, rather than
// against the request or the caller.
bool is_target_failure(error_kind cause);

} // namespace anvilturn

#endif
