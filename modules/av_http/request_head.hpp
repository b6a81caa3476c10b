#ifndef AV_HTTP_REQUEST_HEAD_HPP
#define AV_HTTP_REQUEST_HEAD_HPP

#include <av_core/milliseconds.hpp>
#include <av_http/read_result.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace anvilturn
{

// The start line and header fields of a request, split into what the request
// path evaluates and what it forwards unread.
struct request_head
{
    std::string method_;
    // The HTTP request target as received, with its query.
    std::string target_;
    // Value of the Host field without port, in lower case.
    std::string host_;
    // Empty if the caller sent none.
    std::string call_id_;
    // Time left for the call, as sent by the caller.
    std::optional<milliseconds> deadline_;
    // Number of calls to targets in the chain of calls that led to this one.
    int depth_ = 0;
    bool forwarded_ = false;
    // Deployment of the VM that forwarded the request.
    std::string deployment_;
    // The key that the caller sent. Secret: neither logged nor forwarded.
    std::string api_key_;
    // Whether the field of the key came more than once, so that the key is
    // ambiguous.
    bool api_key_repeated_ = false;
    // Name of the call's account. Only a VM of the same deployment may set it;
    // what a caller sent is to be ignored.
    std::string account_;
    bool expects_continue_ = false;
    bool keep_alive_ = true;
    bool http_1_0_ = false;
    body_framing framing_ = body_framing::none;
    // Content-Length in bytes; valid only for body_framing::length.
    std::uint64_t length_ = 0;
    // Header lines to forward, each with its CRLF, without hop-by-hop fields
    // and fields internal to this system.
    std::string fields_;

    // Resets all members but keeps the strings' allocated memory.
    void clear();
};

// Returns the value of the first header field of that name in lines formatted
// like request_head::fields_; nothing if it is absent. Names are compared
// ignoring case.
std::optional<std::string_view> find_field(std::string_view lines,
                                           std::string_view name);

} // namespace anvilturn

#endif
