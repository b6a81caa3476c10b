#ifndef AV_PROXY_RESPONSE_STATUS_HPP
#define AV_PROXY_RESPONSE_STATUS_HPP

#include <av_core/error.hpp>

namespace anvilturn
{

// Returns the HTTP status code of a failed call with this reason.
int status_of(error_kind reason);

// Returns the reason to report for a call that did not run. A cause that by
// itself would imply the outcome "unknown" is replaced, since no byte of the
// call had been sent when it ended.
error_kind not_run_reason(error_kind cause);

// Returns the reason to report for a call that may have run. A cause that by
// itself would imply the outcome "not run" is replaced.
error_kind unknown_outcome_reason(error_kind cause);

// Returns whether a failed attempt counts as a failure of its target, rather
// than of the request or the caller.
bool is_target_failure(error_kind cause);

} // namespace anvilturn

#endif
