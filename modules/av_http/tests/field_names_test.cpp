// Responses of targets in trouble: bytes that no field name may contain
// (RFC 9110, section 5.6.2), and numbers that are no status.

#include <av_http/av_http.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <string>
#include <vector>

namespace anvilturn
{
namespace
{

const std::string ok_line = "HTTP/1.1 200 OK\r\n";
const std::string no_body = "Content-Length: 0\r\n\r\n";
// The input arrives at once, in segments, and byte by byte.
const std::vector<std::size_t> piece_sizes{100000, 7, 1};

bool is_token_character(char c)
{
    const std::string punctuation = "!#$%&'*+-.^_`|~";
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           (c >= '0' && c <= '9') || punctuation.find(c) != std::string::npos;
}

// Returns field lines with each byte that a name may not contain, at the
// beginning, within and at the end of the name.
std::vector<std::string> malformed_fields()
{
    std::vector<std::string> fields;
    for (int byte = 0; byte < 256; ++byte)
    {
        const auto c = static_cast<char>(byte);
        if (is_token_character(c) || c == ':')
        {
            continue;
        }
        const std::string text(1, c);
        fields.push_back(text + "XA: 1\r\n");
        fields.push_back("X" + text + "A: 1\r\n");
        fields.push_back("XA" + text + ": 1\r\n");
    }
    fields.emplace_back(": 1\r\n");
    return fields;
}

// Reads like a connection; returns the state at the end of the input.
read_state state_after(const std::string& input, std::size_t piece_size)
{
    response_reader reader(http_limits{});
    std::string body;
    std::size_t used = 0;
    read_result step;
    for (std::size_t arrived = 0; arrived < input.size();)
    {
        arrived = std::min(input.size(), arrived + piece_size);
        do
        {
            step = reader.read(input.substr(used, arrived - used), body);
            used += step.consumed_;
            if (step.state_ == read_state::failed ||
                step.state_ == read_state::complete)
            {
                return step.state_;
            }
        } while (step.consumed_ > 0 && used < arrived);
    }
    return step.state_;
}

// Checks that a response is refused, however its bytes arrive.
void check_refused(const std::string& response)
{
    for (const auto piece_size : piece_sizes)
    {
        BOOST_TEST((state_after(response, piece_size) == read_state::failed),
                   response << " in pieces of " << piece_size);
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(field_names)

BOOST_AUTO_TEST_CASE(a_name_that_is_no_token_is_refused_in_a_header)
{
    for (const auto& field : malformed_fields())
    {
        check_refused(ok_line + field + no_body);
        check_refused(ok_line + "Content-Length: 0\r\n" + field + "\r\n");
    }
}

BOOST_AUTO_TEST_CASE(a_name_that_is_no_token_is_refused_in_an_interim_response)
{
    for (const auto& field : malformed_fields())
    {
        check_refused("HTTP/1.1 103 Early Hints\r\n" + field + "\r\n" +
                      ok_line + no_body);
    }
}

BOOST_AUTO_TEST_CASE(a_name_that_is_no_token_is_refused_in_a_trailer)
{
    for (const auto& field : malformed_fields())
    {
        check_refused(ok_line + "Transfer-Encoding: chunked\r\n\r\n" +
                      "3\r\nabc\r\n0\r\n" + field + "\r\n");
    }
}

BOOST_AUTO_TEST_CASE(a_number_that_is_no_status_is_refused)
{
    for (const std::string status :
         {"000", "001", "099", "600", "999", "20", "2000", "-20", "2x0", ""})
    {
        check_refused("HTTP/1.1 " + status + " Odd\r\n" + no_body);
    }
    for (const std::string status : {"200", "299", "404", "599"})
    {
        for (const auto piece_size : piece_sizes)
        {
            BOOST_TEST((state_after("HTTP/1.1 " + status + " Odd\r\n" + no_body,
                                    piece_size) == read_state::complete),
                       status);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace anvilturn
