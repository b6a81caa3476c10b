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

// The status line and header fields of an answer, split into what the request
// path decides on and what it passes on unread.
struct response_head
{
    int status_ = 0;
    // Reason phrase of the status line.
    std::string reason_phrase_;
    bool keep_alive_ = true;
    body_framing framing_ = body_framing::none;
    // Length of the body in bytes; holds for framing by length.
    std::uint64_t length_ = 0;
    // The length that an answer without a body announces, as to HEAD.
    std::optional<std::uint64_t> announced_length_;
    // How long the target keeps the connection open while it is idle.
    std::optional<milliseconds> idle_limit_;
    // The id of the call that is answered, if the target repeats it.
    std::string call_id_;
    // Id of the target that answers; empty if it does not say.
    std::string target_id_;
    // Whether the dialect's signature stands, if it has one.
    bool has_signature_ = false;
    std::optional<load_report> load_;
    bool draining_ = false;
    bool not_run_ = false;
    // Outcome and reason as another VM wrote them; empty from a target.
    std::string outcome_;
    std::string reason_;
    // Header lines to pass on, each with its line end. Fields that concern
    // one connection only and fields of this system are left out.
    std::string fields_;

    // Empties all members and keeps their memory.
    void clear();
};

// Returns the load report that an Anvilturn-Load value holds; nothing if the
// value is malformed, since a report is only a hint.
std::optional<load_report> parse_load(std::string_view value);

} // namespace anvilturn

#endif
