#ifndef AV_OPERATOR_OPERATOR_RESPONSE_HPP
#define AV_OPERATOR_OPERATOR_RESPONSE_HPP

#include <av_core/comparison.hpp>

#include <absl/status/status.h>

#include <string>
#include <tuple>

namespace anvilturn
{

// The HTTP response to an operator's request.
struct operator_response
{
    // HTTP status code.
    unsigned status_ = 200;
    std::string content_type_ = "application/yaml";
    std::string body_;

    // Returns all members, for comparison.
    auto tie() const
    {
        return std::tie(status_, content_type_, body_);
    }
};

// Returns a plain text response; a line feed is appended to the line.
operator_response plain_response(unsigned status, const std::string& line);

// Maps a status to an HTTP status code: 200 if it is OK, else 404, 409, 422,
// 503 or 504 by the code of the error, and 500 for all others.
unsigned http_status_of(const absl::Status& status);

// Returns a plain text response with the error's message as its body.
operator_response error_response(const absl::Status& status);

} // namespace anvilturn

#endif
