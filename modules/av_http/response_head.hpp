#ifndef AV_HTTP_RESPONSE_HEAD_HPP
#define AV_HTTP_RESPONSE_HEAD_HPP

#include <av_core/milliseconds.hpp>
#include <av_http/read_result.hpp>
#include <av_model/load_report.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace anvilturn
{

// The status line and header fields of a response, split into what the request
// path evaluates and what it forwards unread.
struct response_head
{
    int status_ = 0;
    std::string reason_phrase_;
    bool keep_alive_ = true;
    body_framing framing_ = body_framing::none;
    // Length of the body in bytes; valid only for body_framing::length.
    std::uint64_t length_ = 0;
    // Content-Length, in bytes, of a response that has no body, such as one to
    // HEAD.
    std::optional<std::uint64_t> content_length_;
    // How long the target keeps the connection open while it is idle.
    std::optional<milliseconds> idle_limit_;
    // Id of the call that the response belongs to; empty if the target does
    // not repeat it.
    std::string call_id_;
    // Id of the responding target; empty if it does not send one.
    std::string target_id_;
    // Whether the dialect's signature field is present and not empty. Its
    // value is not verified. Always false if the dialect has none.
    bool has_signature_ = false;
    std::optional<load_report> load_;
    // How much longer the target is cold; zero if it is warm, nothing if it
    // does not say so.
    std::optional<milliseconds> cold_for_;
    bool draining_ = false;
    bool not_run_ = false;
    // Outcome and reason as sent by another VM; empty in a target's response.
    std::string outcome_;
    std::string reason_;
    // Header lines to forward, each with its CRLF, without hop-by-hop fields
    // and fields internal to this system.
    std::string fields_;

    // Resets all members but keeps the strings' allocated memory.
    void clear();
};

// Parses the value of an Anvilturn-Load field. Returns nothing if it is
// malformed: that is no error of the response, since the report is only a hint.
std::optional<load_report> parse_load(std::string_view value);

} // namespace anvilturn

#endif
