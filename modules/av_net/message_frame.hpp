#ifndef AV_NET_MESSAGE_FRAME_HPP
#define AV_NET_MESSAGE_FRAME_HPP

#include <cstddef>
#include <string_view>

namespace anvilturn
{

// Size of the length field before each message, a little-endian number that
// counts the bytes after it.
constexpr std::size_t frame_header_bytes = 4;
// Longer messages of the replication are rejected; protocols with shorter
// messages have limits of their own.
constexpr std::size_t max_frame_bytes = 16 * 1024 * 1024;

// Returns the number of bytes that follow the frame header.
std::size_t frame_length(std::string_view header);

} // namespace anvilturn

#endif
