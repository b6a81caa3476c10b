#ifndef STANDINS_COMMON_SERVICE_BODY_HPP
#define STANDINS_COMMON_SERVICE_BODY_HPP

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace anvilturn
{

// Result of checking the body of a service's response.
enum class body_check
{
    // Belongs to the call, complete and unchanged.
    correct,
    // Belongs to another call (cross-talk).
    foreign,
    // Truncated, extended or altered.
    damaged
};

// Returns the CRC-32 of the bytes.
std::uint32_t crc32_of(std::string_view bytes);

// Builds the body of a target's response to a call: the call's id, the target,
// the CRC-32 of the request's body, padding up to size_bytes, and the CRC-32 of
// all that. The body is longer than size_bytes if these parts need more.
std::string make_service_body(std::string_view call_id,
                              std::string_view target,
                              std::string_view request_body,
                              std::size_t size_bytes);

// Checks that a body was built for this call and this request body, is complete
// and has at least size_bytes.
body_check check_service_body(std::string_view body,
                              std::string_view call_id,
                              std::string_view request_body,
                              std::size_t size_bytes);

} // namespace anvilturn

#endif
