#include <av_http/av_http.hpp>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <string>
#include <vector>

namespace anvilturn
{
namespace
{

struct read_outcome
{
    read_state state_ = read_state::in_header;
    error_kind error_ = error_kind::internal;
    std::string body_;
    std::size_t consumed_bytes_ = 0;
};

// Reads like a connection until the message is complete, fails or the input is
// used up. The input arrives in pieces of the given size in bytes.
template <typename Reader>
read_outcome
read_all(Reader& reader, const std::string& input, std::size_t piece_size)
{
    read_outcome result;
    for (std::size_t arrived = 0; arrived < input.size();)
    {
        arrived = std::min(input.size(), arrived + piece_size);
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

read_outcome read_request(const std::string& input,
                          std::size_t piece_size = 100000,
                          http_limits limits = {})
{
    request_reader reader(limits);
    return read_all(reader, input, piece_size);
}

read_outcome read_response(const std::string& input,
                           std::size_t piece_size = 100000)
{
    response_reader reader(http_limits{});
    return read_all(reader, input, piece_size);
}

struct refused_case
{
    const char* name_;
    std::string input_;
};

const std::string post_line = "POST /a HTTP/1.1\r\nHost: h\r\n";
const std::string ok_line = "HTTP/1.1 200 OK\r\n";

// Headers with malformed or ambiguous framing, for requests and responses.
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
    auto responses = malformed_headers(ok_line);
    for (const auto& refused : malformed_chunks(post_line))
    {
        requests.push_back(refused);
    }
    for (const auto& refused : malformed_chunks(ok_line))
    {
        responses.push_back(refused);
    }
    for (const std::size_t piece_size : {1, 7, 100000})
    {
        for (const auto& refused : requests)
        {
            BOOST_TEST_CONTEXT("request: " << refused.name_ << " in pieces of "
                                           << piece_size)
            {
                const auto result = read_request(refused.input_, piece_size);
                BOOST_TEST((result.state_ == read_state::failed));
                BOOST_TEST((result.error_ == error_kind::request_malformed));
            }
        }
        for (const auto& refused : responses)
        {
            BOOST_TEST_CONTEXT("response: " << refused.name_ << " in pieces of "
                                            << piece_size)
            {
                const auto result = read_response(refused.input_, piece_size);
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
        {"unsupported version", "GET /a HTTP/2.0\r\nHost: h\r\n\r\n"},
        {"no version", "GET /a\r\nHost: h\r\n\r\n"},
        {"two spaces", "GET  /a HTTP/1.1\r\nHost: h\r\n\r\n"},
        {"unsupported expectation",
         "GET /a HTTP/1.1\r\nHost: h\r\nExpect: x\r\n\r\n"},
        {"chunked in HTTP/1.0",
         "POST /a HTTP/1.0\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"},
        {"invalid call id",
         "GET /a HTTP/1.1\r\nHost: h\r\nAnvilturn-Call-Id: a b\r\n\r\n"},
        {"too long call id",
         "GET /a HTTP/1.1\r\nHost: h\r\nAnvilturn-Call-Id: " +
             std::string(65, 'a') + "\r\n\r\n"},
        {"invalid deadline",
         "GET /a HTTP/1.1\r\nHost: h\r\nAnvilturn-Deadline-Ms: -1\r\n\r\n"},
        {"invalid depth",
         "GET /a HTTP/1.1\r\nHost: h\r\nAnvilturn-Depth: 1e9\r\n\r\n"},
    };
    for (const auto& refused : cases)
    {
        BOOST_TEST_CONTEXT(refused.name_)
        {
            BOOST_TEST(
                (read_request(refused.input_).state_ == read_state::failed));
        }
    }
}

BOOST_AUTO_TEST_CASE(responses_with_unclear_end_or_status_are_refused)
{
    const std::vector<refused_case> cases{
        {"body ends with the connection", "HTTP/1.1 200 OK\r\n\r\nbody"},
        {"HTTP/1.0 without length", "HTTP/1.0 200 OK\r\n\r\nbody"},
        {"chunked in HTTP/1.0",
         "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"},
        {"protocol switch", "HTTP/1.1 101 Switching\r\nUpgrade: x\r\n\r\n"},
        {"204 with length",
         "HTTP/1.1 204 No Content\r\nContent-Length: 3\r\n\r\nabc"},
        {"invalid status", "HTTP/1.1 2000 OK\r\nContent-Length: 0\r\n\r\n"},
        {"no status", "HTTP/1.1 OK\r\nContent-Length: 0\r\n\r\n"},
    };
    for (const auto& refused : cases)
    {
        BOOST_TEST_CONTEXT(refused.name_)
        {
            BOOST_TEST(
                (read_response(refused.input_).state_ == read_state::failed));
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
    for (const std::size_t piece_size : {1, 100000})
    {
        const auto error_for = [&](const std::string& input)
        {
            const auto result = read_request(input, piece_size, limits);
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
        for (const std::size_t piece_size : {1, 3, 100000})
        {
            const auto result = read_request(request + next, piece_size);
            BOOST_TEST((result.state_ == read_state::complete));
            BOOST_TEST(result.consumed_bytes_ == request.size());
        }
    }
    const auto result =
        read_response("HTTP/1.1 100 Continue\r\n\r\n" +
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

// Returns whether the header has at most one field that frames the body, as
// RFC 9112 requires. Independent of Beast, to check the reader against it.
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

// One request of a stream, as sent and as it must be read.
struct streamed_request
{
    std::string bytes_;
    std::string target_;
    std::string body_;
};

streamed_request make_streamed_request(int number)
{
    streamed_request request;
    request.target_ = "/kits/" + std::to_string(number);
    const auto line = request.target_ + " HTTP/1.1\r\nHost: kits.example\r\n";
    const auto size = *rc::gen::inRange<std::size_t>(0, 30);
    // Bytes that look like framing must not end the body.
    request.body_ = *rc::gen::container<std::string>(
        size, rc::gen::elementOf(std::string("\r\n0GET /:")));
    switch (*rc::gen::inRange(0, 3))
    {
    case 0:
        request.body_.clear();
        request.bytes_ = "GET " + line + "\r\n";
        break;
    case 1:
        request.bytes_ = "POST " + line +
                         "Content-Length: " + std::to_string(size) +
                         "\r\n\r\n" + request.body_;
        break;
    default:
        request.bytes_ = "POST " + line + "Transfer-Encoding: chunked\r\n\r\n";
        for (const char byte : request.body_)
        {
            request.bytes_ += std::string("1\r\n") + byte + "\r\n";
        }
        request.bytes_ += "0\r\n\r\n";
        break;
    }
    return request;
}

// Callers send requests behind each other, and the network splits the bytes at
// any point: neither may change what is read.
RC_BOOST_PROP(any_split_of_a_stream_gives_the_same_requests, ())
{
    const auto count = *rc::gen::inRange(1, 6);
    std::vector<streamed_request> sent;
    std::string stream;
    for (int number = 0; number < count; ++number)
    {
        sent.push_back(make_streamed_request(number));
        stream += sent.back().bytes_;
    }
    request_reader reader{http_limits()};
    std::size_t arrived = 0;
    std::size_t used = 0;
    for (const auto& expected : sent)
    {
        reader.reset();
        std::string body;
        read_result step;
        do
        {
            if (step.consumed_ == 0 && arrived < stream.size())
            {
                arrived += *rc::gen::inRange<std::size_t>(
                    1, stream.size() - arrived + 1);
            }
            step = reader.read(
                std::string_view(stream).substr(used, arrived - used), body);
            used += step.consumed_;
            RC_ASSERT(step.state_ != read_state::failed);
        } while (step.state_ != read_state::complete);
        RC_ASSERT(reader.head().target_ == expected.target_);
        RC_ASSERT(body == expected.body_);
    }
    RC_ASSERT(used == stream.size());
}

// Guards against request smuggling: messages with randomly changed or inserted
// bytes must neither crash a reader nor be accepted if they are ambiguous.
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
    const auto piece_size = *rc::gen::inRange<std::size_t>(1, 40);
    const auto result = read_request(input, piece_size);
    RC_ASSERT(result.consumed_bytes_ <= input.size());
    if (result.state_ == read_state::complete)
    {
        const auto header = input.substr(0, input.find("\r\n\r\n") + 4);
        RC_ASSERT(has_one_framing(header));
        RC_ASSERT(is_strict_header(header));
        const auto read_at_once = read_request(input);
        RC_ASSERT(read_at_once.consumed_bytes_ == result.consumed_bytes_);
        RC_ASSERT(read_at_once.body_ == result.body_);
    }
    // The same bytes must not crash the response reader either.
    read_response(input, piece_size);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace anvilturn
