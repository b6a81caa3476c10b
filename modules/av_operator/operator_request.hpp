#ifndef AV_OPERATOR_OPERATOR_REQUEST_HPP
#define AV_OPERATOR_OPERATOR_REQUEST_HPP

#include <av_core/comparison.hpp>

#include <map>
#include <string>
#include <tuple>

namespace anvilturn
{

// An HTTP request from an operator.
struct operator_request
{
    std::string method_;
    // Path of the request target, without the query.
    std::string path_;
    // Percent-decoded query parameters by name.
    std::map<std::string, std::string> query_;
    std::string body_;

    // Returns all members, for comparison.
    auto tie() const
    {
        return std::tie(method_, path_, query_, body_);
    }
};

// Returns the value of a query parameter; empty if it is absent.
std::string query_value(const operator_request& request,
                        const std::string& name);

} // namespace anvilturn

#endif
