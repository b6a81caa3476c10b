#include <av_proxy/response_status.hpp>

namespace anvilturn
{

int status_of(error_kind reason)
{
    switch (reason)
    {
    case error_kind::request_malformed:
    case error_kind::depth_exceeded:
        return 400;
    case error_kind::api_key_unknown:
        return 401;
    case error_kind::service_unknown:
        return 404;
    case error_kind::request_too_slow:
        return 408;
    case error_kind::request_body_too_large:
        return 413;
    case error_kind::quota_exceeded:
        return 429;
    case error_kind::request_header_too_large:
        return 431;
    case error_kind::target_answer_lost:
    case error_kind::target_answer_malformed:
    case error_kind::target_failed:
        return 502;
    case error_kind::deadline_exceeded:
        return 504;
    default:
        return 503;
    }
}

error_kind not_run_reason(error_kind cause)
{
    switch (cause)
    {
    case error_kind::deadline_exceeded:
        return error_kind::deadline_unreachable;
    case error_kind::target_answer_lost:
    case error_kind::target_answer_malformed:
    case error_kind::target_failed:
        return error_kind::target_unreachable;
    default:
        return cause;
    }
}

error_kind unknown_outcome_reason(error_kind cause)
{
    // A request that proved invalid while it was streamed keeps its reason.
    // Statuses 408, 421, 429 and 503 promise that the call has not run.
    switch (status_of(cause))
    {
    case 408:
        return error_kind::deadline_exceeded;
    case 421:
    case 429:
    case 503:
        return error_kind::target_answer_lost;
    default:
        return cause;
    }
}

bool is_target_failure(error_kind cause)
{
    return cause == error_kind::target_unreachable ||
           cause == error_kind::target_answer_lost ||
           cause == error_kind::target_answer_malformed ||
           cause == error_kind::target_failed ||
           cause == error_kind::deadline_exceeded;
}

} // namespace anvilturn
