#include <av_net/capnp_frame.hpp>
#include <av_net/message_frame.hpp>

#include <zlib.h>

#include <cstring>

namespace anvilturn
{
namespace
{

constexpr unsigned bits_per_byte = 8;
// Compression saves little on shorter messages.
constexpr std::size_t min_bytes_to_compress = 512;

// Returns the compressed bytes; an empty string if there are few bytes or if
// compression does not make them fewer.
std::string compress_large(std::string_view bytes)
{
    if (bytes.size() < min_bytes_to_compress)
    {
        return {};
    }
    auto size = ::compressBound(bytes.size());
    std::string result(size, '\0');
    const int status = ::compress2(reinterpret_cast<Bytef*>(result.data()),
                                   &size,
                                   reinterpret_cast<const Bytef*>(bytes.data()),
                                   bytes.size(),
                                   Z_BEST_SPEED);
    if (status != Z_OK || size >= bytes.size())
    {
        return {};
    }
    result.resize(size);
    return result;
}

void append_length(std::string& frame, std::size_t length)
{
    for (unsigned i = 0; i < frame_header_bytes; ++i)
    {
        frame += static_cast<char>(length >> (i * bits_per_byte));
    }
}

// Copies the bytes to aligned words, padded with zeros, as Cap'n Proto requires
// them.
kj::Array<capnp::word> to_words(std::string_view bytes)
{
    auto words = kj::heapArray<capnp::word>(
        (bytes.size() + sizeof(capnp::word) - 1) / sizeof(capnp::word));
    if (words.size() == 0)
    {
        return words;
    }
    std::memset(words.begin(), 0, words.size() * sizeof(capnp::word));
    std::memcpy(words.begin(), bytes.data(), bytes.size());
    return words;
}

} // namespace

std::size_t frame_length(std::string_view header)
{
    std::size_t length = 0;
    for (unsigned i = 0; i < frame_header_bytes; ++i)
    {
        length |=
            static_cast<std::size_t>(static_cast<unsigned char>(header[i]))
            << (i * bits_per_byte);
    }
    return length;
}

capnp::Text::Reader to_text(const std::string& value)
{
    return {value.c_str(), value.size()};
}

std::string to_string(capnp::Text::Reader text)
{
    return {text.begin(), text.size()};
}

std::string to_frame(capnp::MessageBuilder& message)
{
    const auto words = capnp::messageToFlatArray(message);
    const auto array = words.asBytes();
    const std::string_view bytes(reinterpret_cast<const char*>(array.begin()),
                                 array.size());
    const auto compressed = compress_large(bytes);
    const auto& content = compressed.empty() ? bytes : compressed;
    std::string frame;
    frame.reserve(2 * frame_header_bytes + content.size());
    append_length(frame, frame_header_bytes + content.size());
    append_length(frame, compressed.empty() ? 0 : bytes.size());
    frame.append(content);
    return frame;
}

absl::Status malformed_message(const std::string& what)
{
    return make_error(error_kind::peer_malformed, "malformed message: " + what);
}

absl::StatusOr<kj::Array<capnp::word>> decode_body(std::string_view body,
                                                   std::size_t max_bytes)
{
    if (body.size() < frame_header_bytes)
    {
        return malformed_message("shorter than its header");
    }
    const auto length = frame_length(body);
    body.remove_prefix(frame_header_bytes);
    if (length > max_bytes || body.size() > max_bytes)
    {
        return malformed_message("uncompressed length exceeds the size limit");
    }
    if (length == 0)
    {
        return to_words(body);
    }
    std::string message(length, '\0');
    uLongf size = length;
    const int status = ::uncompress(reinterpret_cast<Bytef*>(message.data()),
                                    &size,
                                    reinterpret_cast<const Bytef*>(body.data()),
                                    body.size());
    if (status != Z_OK || size != length)
    {
        return malformed_message("can't be decompressed to the stated length");
    }
    return to_words(message);
}

} // namespace anvilturn
