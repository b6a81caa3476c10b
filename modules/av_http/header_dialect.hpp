#ifndef AV_HTTP_HEADER_DIALECT_HPP
#define AV_HTTP_HEADER_DIALECT_HPP

#include <av_http/response_head.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace anvilturn
{

// The names of the header fields that carry a call's facts between callers,
// VMs and targets, and how targets speak. The default is the project's own
// dialect; an adapter gives another one. An empty name stands for a field that
// is neither read nor written.
struct header_dialect
{
    std::string call_id_ = "Anvilturn-Call-Id";
    std::string deadline_ = "Anvilturn-Deadline-Ms";
    std::string depth_ = "Anvilturn-Depth";
    std::string forwarded_ = "Anvilturn-Forwarded";
    std::string deployment_ = "Anvilturn-Deployment";
    std::string outcome_ = "Anvilturn-Outcome";
    std::string reason_ = "Anvilturn-Reason";
    std::string load_ = "Anvilturn-Load";
    std::string draining_ = "Anvilturn-Draining";
    // Stands on an answer whose request was refused before it ran.
    std::string not_run_ = "Anvilturn-Not-Run";
    // Bears the id of the target that answers.
    std::string target_id_;
    // A field that each good answer of a target has; an answer without it is
    // not the target's. Empty if there is none.
    std::string signature_;
    // Tells a target which one the request is meant for.
    std::string expected_target_;
    // Fields that begin so are not passed on unless they are named above.
    std::string internal_field_prefix_ = "Anvilturn-";
    // Whether targets repeat the call's id, so that an answer to another call
    // can be told.
    bool responses_repeat_call_id_ = false;
    // Whether a body may end with its connection.
    bool allows_unframed_responses_ = false;
    // Reads the value of the load field; nothing if it is malformed.
    std::optional<load_report> (*parse_load_)(std::string_view) = parse_load;
};

// Returns the project's own dialect.
const header_dialect& native_dialect();

} // namespace anvilturn

#endif
