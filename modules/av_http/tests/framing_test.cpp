#include <av_http/av_http.hpp>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <string>
#include <vector>

namespace anvilturn
{
namespace
{

struct reading
{
    read_state state_ = read_state::in_header;
    error_kind error_ = error_kind::internal;
    std::string body_;
    std::size_t consumed_bytes_ = 0;
};

// Reads until the message ends, fails or needs more, as connections do. The
// input arrives in pieces of the given size.
template <typename Reader>
reading read_all(Reader& reader, const std::string& input, std::size_t piece)
{
    reading result;
    for (std::size_t arrived = 0; arrived < input.size();)
    {
        arrived = std::min(input.size(), arrived + piece);
        read_result step;
        do
        {
            step = reader.read(
                std::string_view(input).substr(
                    result.consumed_bytes_, arrived - result.consumed_bytes_),
                result.body_);
            result.consumed_bytes_ += step.consumed_;
            result.state_ = step.state_;
            result.error_ = step.error_;
            if (step.state_ == read_state::failed ||
                step.state_ == read_state::complete)
            {
                return result;
            }
        } while (step.consumed_ > 0 && result.consumed_bytes_ < arrived);
    }
    return result;
}

reading read_request(const std::string& input,
                     std::size_t piece = 100000,
                     http_limits limits = {})
{
    request_reader reader(limits);
    return read_all(reader, input, piece);
}

reading read_answer(const std::string& input, std::size_t piece = 100000)
{
    response_reader reader(http_limits{});
    return read_all(reader, input, piece);
}

struct refused_case
{
    const char* name_;
    std::string input_;
};

const std::string post_line = "POST /a HTTP/1.1\r\nHost: h\r\n";
const std::string ok_line = "HTTP/1.1 200 OK\r\n";

// Framing faults of a header that are faults in both directions.
std::vector<refused_case> malformed_headers(const std::string& line)
{
    return {
        {"two lengths",
         line + "Content-Length: 1\r\nContent-Length: 2\r\n\r\n"},
        {"equal lengths",
         line + "Content-Length: 1\r\nContent-Length: 1\r\n\r\na"},
        {"list of lengths", line + "Content-Length: 1, 1\r\n\r\na"},
        {"signed length", line + "Content-Length: +1\r\n\r\na"},
        {"negative length", line + "Content-Length: -1\r\n\r\na"},
        {"hexadecimal length", line + "Content-Length: 0x1\r\n\r\na"},
        {"empty length", line + "Content-Length: \r\n\r\n"},
        {"huge length",
         line + "Content-Length: 99999999999999999999999\r\n\r\n"},
        {"length and chunked",
         line + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n"},
        {"chunked and length",
         line + "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n"},
        {"chunked twice",
         line + "Transfer-Encoding: chunked\r\n"
                "Transfer-Encoding: chunked\r\n\r\n"},
        {"chunked not last", line + "Transfer-Encoding: chunked, gzip\r\n\r\n"},
        {"unknown encoding", line + "Transfer-Encoding: gzip\r\n\r\n"},
        {"encoding list", line + "Transfer-Encoding: gzip, chunked\r\n\r\n"},
        {"quoted encoding", line + "Transfer-Encoding: \"chunked\"\r\n\r\n"},
        {"encoding after a control character",
         line + "Transfer-Encoding: \x0b"
                "chunked\r\n\r\n"},
        {"space before colon", line + "Content-Length : 1\r\n\r\na"},
        {"folded line", line + "X-A: 1\r\n Content-Length: 1\r\n\r\n"},
        {"folded by tab", line + "X-A: 1\r\n\tb\r\n\r\n"},
        {"bare line feed", line + "X-A: 1\nContent-Length: 1\r\n\r\na"},
        {"bare line feeds only", "GET / HTTP/1.1\nHost: h\n\n"},
        {"bare carriage return", line + "X-A: 1\rX-B: 2\r\n\r\n"},
        {"NUL in a value", line + "X-A: a" + std::string(1, '\0') + "\r\n\r\n"},
        {"NUL in a name", line + "X" + std::string(1, '\0') + "A: a\r\n\r\n"},
        {"line without colon", line + "X-A\r\n\r\n"},
        {"empty name", line + ": a\r\n\r\n"},
        {"not a token", line + "X(A: a\r\n\r\n"},
    };
}

std::string chunked(const std::string& line, const std::string& body)
{
    return line + "Transfer-Encoding: chunked\r\n\r\n" + body;
}

std::vector<refused_case> malformed_chunks(const std::string& line)
{
    return {
        {"no size", chunked(line, "\r\na\r\n0\r\n\r\n")},
        {"not hexadecimal", chunked(line, "g\r\na\r\n0\r\n\r\n")},
        {"prefixed size", chunked(line, "0x1\r\na\r\n0\r\n\r\n")},
        {"negative size", chunked(line, "-1\r\na\r\n0\r\n\r\n")},
        {"size overflows",
         chunked(line, "ffffffffffffffffff\r\na\r\n0\r\n\r\n")},
        {"chunk too short", chunked(line, "5\r\nabc\r\n0\r\n\r\n")},
        {"chunk too long", chunked(line, "1\r\nabc\r\n0\r\n\r\n")},
        {"bare line feed after size", chunked(line, "1\na\r\n0\r\n\r\n")},
        {"bare line feed after chunk", chunked(line, "1\r\na\n0\r\n\r\n")},
    };
}

} // namespace

BOOST_AUTO_TEST_SUITE(framing)

BOOST_AUTO_TEST_CASE(malformed_framing_is_refused_in_requests_and_responses)
{
    auto requests = malformed_headers(post_line);
    auto answers = malformed_headers(ok_line);
    for (const auto& one : malformed_chunks(post_line))
    {
        requests.push_back(one);
    }
    for (const auto& one : malformed_chunks(ok_line))
    {
        answers.push_back(one);
    }
    for (const std::size_t piece : {1, 7, 100000})
    {
        for (const auto& one : requests)
        {
            BOOST_TEST_CONTEXT("request: " << one.name_ << " by " << piece)
            {
                const auto result = read_request(one.input_, piece);
                BOOST_TEST((result.state_ == read_state::failed));
                BOOST_TEST((result.error_ == error_kind::request_malformed));
            }
        }
        for (const auto& one : answers)
        {
            BOOST_TEST_CONTEXT("answer: " << one.name_ << " by " << piece)
            {
                const auto result = read_answer(one.input_, piece);
                BOOST_TEST((result.state_ == read_state::failed));
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(invalid_requests_are_refused)
{
    const std::vector<refused_case> cases{
        {"no host", "GET /a HTTP/1.1\r\n\r\n"},
        {"two hosts", "GET /a HTTP/1.1\r\nHost: h\r\nHost: h\r\n\r\n"},
        {"absolute target", "GET http://h/a HTTP/1.1\r\nHost: h\r\n\r\n"},
        {"authority target", "CONNECT h:1 HTTP/1.1\r\nHost: h\r\n\r\n"},
        {"dot segment", "GET /a/../b HTTP/1.1\r\nHost: h\r\n\r\n"},
        {"encoded dot segment", "GET /a/%2E%2e/b HTTP/1.1\r\nHost: h\r\n\r\n"},
        {"last dot segment", "GET /a/. HTTP/1.1\r\nHost: h\r\n\r\n"},
        {"dot segment with parameter",
         "GET /a/..;x/b HTTP/1.1\r\nHost: h\r\n\r\n"},
        {"encoded slash", "GET /a%2fb HTTP/1.1\r\nHost: h\r\n\r\n"},
        {"fragment", "GET /a#b HTTP/1.1\r\nHost: h\r\n\r\n"},
        {"other version", "GET /a HTTP/2.0\r\nHost: h\r\n\r\n"},
        {"no version", "GET /a\r\nHost: h\r\n\r\n"},
        {"two spaces", "GET  /a HTTP/1.1\r\nHost: h\r\n\r\n"},
        {"other expectation",
         "GET /a HTTP/1.1\r\nHost: h\r\nExpect: x\r\n\r\n"},
        {"chunked by 1.0",
         "POST /a HTTP/1.0\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"},
        {"bad call id",
         "GET /a HTTP/1.1\r\nHost: h\r\nAnvilturn-Call-Id: a b\r\n\r\n"},
        {"long call id",
         "GET /a HTTP/1.1\r\nHost: h\r\nAnvilturn-Call-Id: " +
             std::string(65, 'a') + "\r\n\r\n"},
        {"bad deadline",
         "GET /a HTTP/1.1\r\nHost: h\r\nAnvilturn-Deadline-Ms: -1\r\n\r\n"},
        {"bad depth",
         "GET /a HTTP/1.1\r\nHost: h\r\nAnvilturn-Depth: 1e9\r\n\r\n"},
    };
    for (const auto& one : cases)
    {
        BOOST_TEST_CONTEXT(one.name_)
        {
            BOOST_TEST((read_request(one.input_).state_ == read_state::failed));
        }
    }
}

BOOST_AUTO_TEST_CASE(responses_with_unclear_end_or_status_are_refused)
{
    const std::vector<refused_case> cases{
        {"ends with the connection", "HTTP/1.1 200 OK\r\n\r\nbody"},
        {"1.0 without length", "HTTP/1.0 200 OK\r\n\r\nbody"},
        {"chunked by 1.0",
         "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"},
        {"other protocol", "HTTP/1.1 101 Switching\r\nUpgrade: x\r\n\r\n"},
        {"204 with length",
         "HTTP/1.1 204 No Content\r\nContent-Length: 3\r\n\r\nabc"},
        {"bad status", "HTTP/1.1 2000 OK\r\nContent-Length: 0\r\n\r\n"},
        {"no status", "HTTP/1.1 OK\r\nContent-Length: 0\r\n\r\n"},
    };
    for (const auto& one : cases)
    {
        BOOST_TEST_CONTEXT(one.name_)
        {
            BOOST_TEST((read_answer(one.input_).state_ == read_state::failed));
        }
    }
}

BOOST_AUTO_TEST_CASE(limits)
{
    http_limits limits;
    limits.header_bytes_ = 256;
    limits.body_bytes_ = 4;
    const auto long_header =
        post_line + "X-A: " + std::string(300, 'a') + "\r\n\r\n";
    const auto endless_header = post_line + "X-A: " + std::string(300, 'a');
    const auto large = post_line + "Content-Length: 5\r\n\r\nabcde";
    const auto large_chunks =
        chunked(post_line, "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    for (const std::size_t piece : {1, 100000})
    {
        const auto error_for = [&](const std::string& input)
        {
            const auto result = read_request(input, piece, limits);
            BOOST_TEST((result.state_ == read_state::failed));
            return result.error_;
        };
        BOOST_TEST(
            (error_for(long_header) == error_kind::request_header_too_large));
        BOOST_TEST((error_for(endless_header) ==
                    error_kind::request_header_too_large));
        BOOST_TEST((error_for(large) == error_kind::request_body_too_large));
        BOOST_TEST(
            (error_for(large_chunks) == error_kind::request_body_too_large));
    }
    BOOST_TEST(
        (read_request(post_line + "Content-Length: 4\r\n\r\nabcd", 1, limits)
             .state_ == read_state::complete));
}

BOOST_AUTO_TEST_CASE(reading_stops_at_the_end_of_the_message)
{
    const auto next = "GET /next HTTP/1.1\r\n";
    const std::vector<std::string> requests{
        post_line + "\r\n",
        post_line + "Content-Length: 0\r\n\r\n",
        post_line + "Content-Length: 5\r\n\r\nhello",
        chunked(post_line, "3\r\nhel\r\n2;x=y\r\nlo\r\n0\r\nX-T: 1\r\n\r\n"),
    };
    for (const auto& request : requests)
    {
        for (const std::size_t piece : {1, 3, 100000})
        {
            const auto result = read_request(request + next, piece);
            BOOST_TEST((result.state_ == read_state::complete));
            BOOST_TEST(result.consumed_bytes_ == request.size());
        }
    }
    const auto result =
        read_answer("HTTP/1.1 100 Continue\r\n\r\n" +
                    chunked(ok_line, "5\r\nhello\r\n0\r\n\r\n"));
    BOOST_TEST((result.state_ == read_state::complete));
    BOOST_TEST(result.body_ == "hello");
}

BOOST_AUTO_TEST_CASE(load_reports)
{
    const auto report = parse_load("busy=3, queued=2, slots=6");
    BOOST_TEST_REQUIRE(report.has_value());
    BOOST_TEST(report->busy_slots_ == 3);
    BOOST_TEST(report->queued_calls_ == 2);
    BOOST_TEST(report->slots_ == 6);
    for (const auto* value : {"",
                              "busy=",
                              "busy=1",
                              "busy=1, queued=2",
                              "busy=-1, queued=0, slots=6",
                              "busy=1, queued=2, slots=6, x=1",
                              "busy=1, queued=2, slots=99999999999"})
    {
        BOOST_TEST_CONTEXT(value)
        {
            BOOST_TEST(!parse_load(value).has_value());
        }
    }
}

// A recipient that reads strictly by RFC 9112, written without Beast.
bool has_one_framing(const std::string& header)
{
    int lengths = 0;
    int encodings = 0;
    for (std::size_t at = 0; at < header.size();)
    {
        const auto end = header.find("\r\n", at);
        auto line = header.substr(at, end - at);
        for (auto& c : line)
        {
            c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
        }
        lengths += line.rfind("content-length", 0) == 0 ? 1 : 0;
        encodings += line.rfind("transfer-encoding", 0) == 0 ? 1 : 0;
        at = end == std::string::npos ? header.size() : end + 2;
    }
    return lengths + encodings <= 1;
}

// Random changes of bytes neither crash the reader nor bring an ambiguous
// message past it.
RC_BOOST_PROP(mutated_messages_are_never_ambiguous, ())
{
    const std::vector<std::string> seeds{
        post_line + "Content-Length: 5\r\n\r\nhello",
        chunked(post_line, "3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n"),
        chunked(post_line + "Content-Length: 4\r\n", "0\r\n\r\n"),
        post_line + "Content-Length: 1\r\nContent-Length: 1\r\n\r\na",
    };
    auto input = *rc::gen::elementOf(seeds);
    const auto changes = *rc::gen::inRange(0, 6);
    for (int i = 0; i < changes; ++i)
    {
        const auto at = *rc::gen::inRange<std::size_t>(0, input.size());
        const auto byte = *rc::gen::elementOf(
            std::string("\r\n\t :,;0a1Z\x7f") + std::string(1, '\0'));
        if (*rc::gen::arbitrary<bool>())
        {
            input[at] = byte;
        }
        else
        {
            input.insert(at, 1, byte);
        }
    }
    const auto piece = *rc::gen::inRange<std::size_t>(1, 40);
    const auto result = read_request(input, piece);
    RC_ASSERT(result.consumed_bytes_ <= input.size());
    if (result.state_ == read_state::complete)
    {
        const auto header = input.substr(0, input.find("\r\n\r\n") + 4);
        RC_ASSERT(has_one_framing(header));
        RC_ASSERT(is_strict_header(header));
        const auto whole = read_request(input);
        RC_ASSERT(whole.consumed_bytes_ == result.consumed_bytes_);
        RC_ASSERT(whole.body_ == result.body_);
    }
    // The same bytes must not crash the reader of answers either.
    read_answer(input, piece);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace anvilturn
