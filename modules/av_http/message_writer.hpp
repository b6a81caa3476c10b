#ifndef AV_HTTP_MESSAGE_WRITER_HPP
#define AV_HTTP_MESSAGE_WRITER_HPP

#include <av_core/milliseconds.hpp>
#include <av_http/header_dialect.hpp>
#include <av_http/read_result.hpp>
#include <av_http/request_head.hpp>
#include <av_http/response_head.hpp>
#include <av_model/call_outcome.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace anvilturn
{

// What the request path adds to a request that it passes on.
struct request_additions
{
    std::string_view call_id_;
    milliseconds deadline_left_;
    int depth_ = 0;
    // Whether the request goes to another VM rather than to a target.
    bool forwarded_ = false;
    std::string_view deployment_;
    // Id of the target that the request is meant for; empty for any.
    std::string_view expected_target_;
    body_framing framing_ = body_framing::none;
    std::uint64_t length_ = 0;
};

// What the request path adds to an answer that it passes on.
struct response_additions
{
    std::string_view call_id_;
    std::string_view outcome_;
    // Empty for a target's own answer.
    std::string_view reason_;
    bool keep_alive_ = true;
    // Whether the load header fields stand too, as VMs want to see them.
    bool with_load_ = false;
};

// An answer of this VM itself.
struct local_response
{
    int status_ = 503;
    std::string_view call_id_;
    std::string_view outcome_;
    std::string_view reason_;
    // When to come back; no such field if zero.
    milliseconds retry_after_{0.0};
    bool keep_alive_ = true;
    // One line of text, without its line end.
    std::string_view text_;
    bool responds_to_head_request_ = false;
};

// Append the message's header, with the empty line, to the output.
void write_request_head(std::string& output,
                        const request_head& head,
                        const request_additions& additions,
                        const header_dialect& dialect = native_dialect());
void write_response_head(std::string& output,
                         const response_head& head,
                         const response_additions& additions,
                         const header_dialect& dialect = native_dialect());

// Appends a whole answer with its body.
void write_local_response(std::string& output,
                          const local_response& answer,
                          const header_dialect& dialect = native_dialect());

// Append one chunk, or the end, of a chunked body.
void write_chunk(std::string& output, std::string_view bytes);
void write_last_chunk(std::string& output);

} // namespace anvilturn

#endif
