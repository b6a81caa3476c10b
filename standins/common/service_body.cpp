#include <common/service_body.hpp>

#include <boost/crc.hpp>

#include <algorithm>
#include <cstdio>

namespace anvilturn
{
namespace
{

constexpr std::size_t crc32_hex_digits = 8;

std::string crc32_text(std::string_view bytes)
{
    char text[crc32_hex_digits + 1];
    std::snprintf(text, sizeof text, "%08x", crc32_of(bytes));
    return text;
}

} // namespace

std::uint32_t crc32_of(std::string_view bytes)
{
    boost::crc_32_type crc;
    crc.process_bytes(bytes.data(), bytes.size());
    return crc.checksum();
}

std::string make_service_body(std::string_view call_id,
                              std::string_view target,
                              std::string_view request_body,
                              std::size_t size_bytes)
{
    std::string body = "call=";
    body.append(call_id).append(" target=").append(target);
    body.append(" request=").append(crc32_text(request_body)).append("\n");
    // Padding that differs between calls, so that bytes of another call are
    // detected.
    const std::string filler = std::string(call_id) + '.';
    const auto total_bytes =
        std::max(size_bytes, body.size() + crc32_hex_digits);
    while (body.size() + crc32_hex_digits < total_bytes)
    {
        const auto remaining_bytes =
            total_bytes - crc32_hex_digits - body.size();
        body.append(filler, 0, std::min(remaining_bytes, filler.size()));
    }
    return body + crc32_text(body);
}

body_check check_service_body(std::string_view body,
                              std::string_view call_id,
                              std::string_view request_body,
                              std::size_t size_bytes)
{
    const std::string expected_start = "call=" + std::string(call_id) + ' ';
    if (body.substr(0, expected_start.size()) != expected_start)
    {
        return body.substr(0, 5) == "call=" ? body_check::foreign
                                            : body_check::damaged;
    }
    const std::string request = "request=" + crc32_text(request_body) + '\n';
    const bool request_matches =
        body.substr(0, body.find('\n') + 1).find(request) !=
        std::string_view::npos;
    if (!request_matches ||
        body.size() < std::max(size_bytes, crc32_hex_digits))
    {
        return body_check::damaged;
    }
    const auto checked_part = body.substr(0, body.size() - crc32_hex_digits);
    return body.substr(checked_part.size()) == crc32_text(checked_part)
               ? body_check::correct
               : body_check::damaged;
}

} // namespace anvilturn
