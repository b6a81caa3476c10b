#ifndef AV_HTTP_HEADER_DIALECT_HPP
#define AV_HTTP_HEADER_DIALECT_HPP

#include <av_http/response_head.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace anvilturn
{

// The names of the header fields that carry a call's metadata between callers,
// VMs and targets, and the protocol variations of targets. The defaults are the
// native dialect; a platform adapter provides another one. A field with an
// empty name is neither read nor written.
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
    // Present in a response if the request was refused before it ran.
    std::string not_run_ = "Anvilturn-Not-Run";
    // Holds how much longer the responding target is cold, in milliseconds.
    std::string cold_for_;
    // Holds the id of the responding target.
    std::string target_id_;
    // A field that each successful response of a target has; a success without
    // it did not come from the target. Empty if the dialect has none.
    std::string signature_;
    // Holds the id of the target that the request is meant for.
    std::string expected_target_;
    // Holds the key of the account on whose behalf a caller calls; never
    // forwarded.
    std::string api_key_ = "Anvilturn-Api-Key";
    // Holds the name of the call's account, for targets and VMs. What callers
    // send in it is dropped.
    std::string account_ = "Anvilturn-Account";
    // Other fields with this prefix are not forwarded.
    std::string internal_field_prefix_ = "Anvilturn-";
    // Whether targets repeat the call's id, so that a response to another call
    // can be recognized.
    bool responses_repeat_call_id_ = false;
    // Whether the body of a response may end with the connection, without
    // Content-Length or chunked encoding.
    bool allows_unframed_responses_ = false;
    // Parses the value of the load field; returns nothing if it is malformed.
    std::optional<load_report> (*parse_load_)(std::string_view) = parse_load;
};

// Returns the default dialect, with the Anvilturn-... fields.
const header_dialect& native_dialect();

} // namespace anvilturn

#endif
