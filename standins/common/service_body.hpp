#ifndef STANDINS_COMMON_SERVICE_BODY_HPP
#define STANDINS_COMMON_SERVICE_BODY_HPP

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace anvilturn
{

// What the body of a service's answer turned out to be.
enum class body_check
{
    correct,
    // It belongs to another call: cross-talk.
    foreign,
    // Truncated, extended or changed.
    damaged
};

// Returns the CRC-32 of the bytes.
std::uint32_t digest_of(std::string_view bytes);

// Builds the body with which a target answers a call: the call's id, the
// target, the digest of the request's body, filler up to the size asked for,
// and the digest of it all.
std::string make_service_body(std::string_view call_id,
                              std::string_view target,
                              std::string_view request_body,
                              std::size_t size_bytes);

// Checks that a body answers the call and is whole.
body_check check_service_body(std::string_view body,
                              std::string_view call_id,
                              std::string_view request_body,
                              std::size_t size_bytes);

} // namespace anvilturn

#endif
