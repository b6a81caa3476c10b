#include "fixed_response_server.hpp"

#include <av_net/http_caller.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

using namespace anvilturn;
using namespace anvilturn::testing;

namespace
{

constexpr std::size_t body_limit = 65536;
// More than all buffers on the path take together.
constexpr std::size_t large_body_bytes = std::size_t{64} * 1024 * 1024;
constexpr milliseconds call_timeout{10000.0};

// Makes one call to a server that answers with the bytes as soon as the header
// of the request has arrived.
http_result call(const std::string& response,
                 server_behavior behavior,
                 std::size_t request_body_bytes = 0)
{
    asio::io_context context;
    fixed_response_server server(context, response, behavior);
    http_caller caller(context, server.address(), body_limit);
    http_request request(boost::beast::http::verb::post, "/", 11);
    request.body().assign(request_body_bytes, 'x');
    http_result result;
    caller.call(std::move(request),
                call_timeout,
                [&](http_result answer)
                {
                    result = std::move(answer);
                    server.stop();
                });
    context.run();
    return result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(http_exchanges)

// Guards against contents of the store that grow old while one dead connection
// after the other is tried: open connections may go silent together.
BOOST_AUTO_TEST_CASE(a_call_without_response_ends_the_idle_connections)
{
    constexpr int idle_connections = 3;
    asio::io_context context;
    fixed_response_server server(context,
                                 "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
                                 server_behavior::stall);
    http_caller caller(context, server.address(), body_limit);
    std::vector<http_outcome> outcomes;
    const auto start = [&](milliseconds timeout)
    {
        caller.call(http_request(boost::beast::http::verb::get, "/", 11),
                    timeout,
                    [&](const http_result& answer)
                    {
                        outcomes.push_back(answer.outcome_);
                    });
    };
    const auto run_until_ended = [&](std::size_t calls)
    {
        while (outcomes.size() < calls)
        {
            context.run_one();
        }
    };
    for (int call = 0; call < idle_connections; ++call)
    {
        start(call_timeout);
    }
    run_until_ended(idle_connections);
    start(milliseconds(20.0));
    run_until_ended(idle_connections + 1);
    BOOST_TEST((outcomes.back() == http_outcome::response_lost));
    start(call_timeout);
    run_until_ended(idle_connections + 2);
    BOOST_TEST((outcomes.back() == http_outcome::answered));
    server.stop();
}

BOOST_AUTO_TEST_CASE(a_response_without_length_ends_with_its_connection)
{
    const auto result =
        call("HTTP/1.1 200 OK\r\n\r\nwhole", server_behavior::close);
    BOOST_TEST((result.outcome_ == http_outcome::answered));
    BOOST_TEST(result.http_response_.body() == "whole");
}

// Guards against contents of the store that are read from a response whose head
// or body was cut off.
BOOST_AUTO_TEST_CASE(a_response_that_is_cut_at_any_byte_is_incomplete)
{
    for (const std::string response :
         {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
          "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
          "2\r\n{}\r\n0\r\nSum: 7\r\n\r\n"})
    {
        for (std::size_t length = 0; length < response.size(); ++length)
        {
            const auto result =
                call(response.substr(0, length), server_behavior::close);
            BOOST_TEST((result.outcome_ != http_outcome::answered),
                       length << " of " << response);
        }
    }
}

// The server closes with bytes of the request unread, which resets the
// connection.
BOOST_AUTO_TEST_CASE(a_response_without_length_is_incomplete_after_a_reset)
{
    const auto result = call("HTTP/1.1 200 OK\r\n\r\npart",
                             server_behavior::close,
                             large_body_bytes);
    BOOST_TEST((result.outcome_ == http_outcome::response_lost));
}

// A server may refuse a long request without reading it.
BOOST_AUTO_TEST_CASE(a_response_with_a_length_is_complete_after_a_reset)
{
    const auto result =
        call("HTTP/1.1 413 Too Large\r\nContent-Length: 3\r\n\r\nbig",
             server_behavior::close,
             large_body_bytes);
    BOOST_TEST((result.outcome_ == http_outcome::answered));
    BOOST_TEST(result.http_response_.result_int() == 413U);
}

BOOST_AUTO_TEST_CASE(bytes_that_are_no_response_are_malformed)
{
    const std::vector<std::string> responses{
        "HTTP/1.1 000 Odd\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 099 Odd\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 600 Odd\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length : 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nX A: 1\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nX\x01: 1\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nX(A): 1\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nX-A: \x01\r\nContent-Length: 0\r\n\r\n",
        "SSH-2.0-odd\r\n\r\n"};
    for (const auto& response : responses)
    {
        BOOST_TEST((call(response, server_behavior::keep_open).outcome_ ==
                    http_outcome::malformed),
                   response);
    }
}

BOOST_AUTO_TEST_SUITE_END()
