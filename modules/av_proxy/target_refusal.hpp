// Private to av_proxy.

#ifndef AV_PROXY_TARGET_REFUSAL_HPP
#define AV_PROXY_TARGET_REFUSAL_HPP

#include <av_core/error.hpp>
#include <av_core/milliseconds.hpp>
#include <av_http/header_dialect.hpp>
#include <av_http/response_head.hpp>
#include <av_proxy/target_state.hpp>

#include <optional>

namespace anvilturn
{

// Returns the reason if the target's response says that it has not run the call
// and never will.
std::optional<error_kind> refusal_of(const response_head& head,
                                     const header_dialect& dialect);

// Records in the target's state that it has refused a call with the response.
void record_refusal_by(target_state& target,
                       int slots,
                       const response_head& head,
                       milliseconds now);

// Returns whether the status promises the caller that the call has not run.
bool promises_not_run(int status) noexcept;

// Returns whether a response with the status is one that a caller should get
// while another attempt of the call still runs: it is neither a failure of the
// target nor a promise that the call has not run.
bool is_conclusive(int status) noexcept;

} // namespace anvilturn

#endif
