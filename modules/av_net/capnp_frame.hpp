#ifndef AV_NET_CAPNP_FRAME_HPP
#define AV_NET_CAPNP_FRAME_HPP

// Includes Cap'n Proto, which is slow to compile: include it in source files
// only.

#include <av_core/error.hpp>
#include <av_net/message_frame.hpp>

#include <absl/status/statusor.h>
#include <capnp/message.h>
#include <capnp/serialize.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace anvilturn
{

// Convert texts of messages.
capnp::Text::Reader to_text(const std::string& value);
std::string to_string(capnp::Text::Reader text);

// Returns the frame of the message: the length of the body, then the body. The
// body begins with the uncompressed length of the message if that is
// compressed, otherwise with zero.
std::string to_frame(capnp::MessageBuilder& message);

// Returns the words of the message in the body, decompressed if necessary;
// peer_malformed if they are more than the given number of bytes.
absl::StatusOr<kj::Array<capnp::word>> decode_body(std::string_view body,
                                                   std::size_t max_bytes);

// Returns the error for a message that is not valid.
absl::Status malformed_message(const std::string& what);

// Decodes the body and calls the function to read its message. Cap'n Proto
// throws on malformed bytes; this becomes peer_malformed.
template <typename Value, typename Read>
absl::StatusOr<Value>
read_message(std::string_view body, std::size_t max_bytes, Read read)
{
    const auto words = decode_body(body, max_bytes);
    if (!words.ok())
    {
        return words.status();
    }
    try
    {
        capnp::ReaderOptions options;
        options.traversalLimitInWords = max_bytes / sizeof(capnp::word);
        capnp::FlatArrayMessageReader message(*words, options);
        return read(message);
    }
    catch (const kj::Exception& error)
    {
        return malformed_message(error.getDescription().cStr());
    }
}

} // namespace anvilturn

#endif
