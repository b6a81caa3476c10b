#include <av_operator/operator_request.hpp>
#include <av_operator/operator_response.hpp>

namespace anvilturn
{

std::string query_value(const operator_request& request,
                        const std::string& name)
{
    const auto found = request.query_.find(name);
    return found == request.query_.end() ? std::string() : found->second;
}

operator_response plain_response(unsigned status, const std::string& line)
{
    return {status, "text/plain", line + "\n"};
}

unsigned http_status_of(const absl::Status& status)
{
    switch (status.code())
    {
    case absl::StatusCode::kOk:
        return 200;
    case absl::StatusCode::kInvalidArgument:
    case absl::StatusCode::kResourceExhausted:
        return 422;
    case absl::StatusCode::kNotFound:
        return 404;
    case absl::StatusCode::kAborted:
        return 409;
    case absl::StatusCode::kUnavailable:
        return 503;
    case absl::StatusCode::kUnknown:
    case absl::StatusCode::kDeadlineExceeded:
        return 504;
    default:
        return 500;
    }
}

operator_response error_response(const absl::Status& status)
{
    return plain_response(http_status_of(status),
                          std::string(status.message()));
}

} // namespace anvilturn
