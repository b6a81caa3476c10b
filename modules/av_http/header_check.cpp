#include <av_http/header_check.hpp>

#include <algorithm>

namespace anvilturn
{
namespace
{

constexpr std::size_t call_id_limit = 64;
constexpr std::string_view line_end = "\r\n";

bool is_control(char c)
{
    const auto byte = static_cast<unsigned char>(c);
    return (byte < 0x20 && c != '\t') || byte == 0x7f;
}

bool has_control(std::string_view text)
{
    return std::any_of(text.begin(), text.end(), is_control);
}

bool is_strict_field(std::string_view line)
{
    const auto colon = line.find(':');
    if (colon == std::string_view::npos || colon == 0)
    {
        return false;
    }
    const auto name = line.substr(0, colon);
    return name.find_first_of(" \t") == std::string_view::npos;
}

char lower(char c)
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

// Returns the length of a dot, literal or percent-encoded, at the front of the
// text; 0 if there is none.
std::size_t dot_length(std::string_view text)
{
    if (!text.empty() && text[0] == '.')
    {
        return 1;
    }
    const bool encoded = text.size() >= 3 && text[0] == '%' && text[1] == '2' &&
                         lower(text[2]) == 'e';
    return encoded ? 3 : 0;
}

bool is_dot_segment(std::string_view segment)
{
    for (int dots = 0; dots < 2; ++dots)
    {
        const auto length = dot_length(segment);
        if (length == 0)
        {
            return false;
        }
        segment.remove_prefix(length);
        if (segment.empty())
        {
            return true;
        }
    }
    return false;
}

bool has_encoded_slash(std::string_view path)
{
    for (auto at = path.find('%'); at != std::string_view::npos;
         at = path.find('%', at + 1))
    {
        const auto code = path.substr(at, 3);
        if (code.size() == 3 && ((code[1] == '2' && lower(code[2]) == 'f') ||
                                 (code[1] == '5' && lower(code[2]) == 'c')))
        {
            return true;
        }
    }
    return false;
}

} // namespace

bool is_strict_header(std::string_view header)
{
    bool first = true;
    while (!header.empty())
    {
        const auto end = header.find(line_end);
        if (end == std::string_view::npos)
        {
            return false;
        }
        const auto line = header.substr(0, end);
        header.remove_prefix(end + line_end.size());
        if (line.empty())
        {
            return !first && header.empty();
        }
        if (has_control(line) || (!first && !is_strict_field(line)))
        {
            return false;
        }
        first = false;
    }
    return false;
}

bool has_bare_line_feed(std::string_view bytes)
{
    for (auto at = bytes.find('\n'); at != std::string_view::npos;
         at = bytes.find('\n', at + 1))
    {
        if (at == 0 || bytes[at - 1] != '\r')
        {
            return true;
        }
    }
    return false;
}

bool is_plain_request_target(std::string_view target)
{
    if (target.empty() || target[0] != '/' ||
        target.find('#') != std::string_view::npos)
    {
        return false;
    }
    auto path = target.substr(0, target.find('?'));
    if (path.find('\\') != std::string_view::npos || has_encoded_slash(path))
    {
        return false;
    }
    while (!path.empty())
    {
        path.remove_prefix(1);
        const auto segment = path.substr(0, path.find('/'));
        // Some recipients ignore the part of a segment after a semicolon.
        if (is_dot_segment(segment.substr(0, segment.find(';'))))
        {
            return false;
        }
        path.remove_prefix(segment.size());
    }
    return true;
}

bool is_call_id(std::string_view id)
{
    const auto allowed = [](char c)
    {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
               (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-';
    };
    return !id.empty() && id.size() <= call_id_limit &&
           std::all_of(id.begin(), id.end(), allowed);
}

} // namespace anvilturn
