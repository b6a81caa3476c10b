#ifndef AV_NET_HTTP_EXCHANGE_HPP
#define AV_NET_HTTP_EXCHANGE_HPP

#include <av_core/milliseconds.hpp>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace anvilturn
{

using http_request =
    boost::beast::http::request<boost::beast::http::string_body>;
using http_response_message =
    boost::beast::http::response<boost::beast::http::string_body>;

// How an exchange ended.
enum class http_outcome
{
    answered,
    // No connection could be opened; nothing was sent.
    not_connected,
    // Some of the request may have been sent, but no complete response arrived
    // within the time limit or before the connection ended.
    response_lost,
    // The response is not valid HTTP or exceeds a size limit.
    malformed
};

// Outcome of an exchange, and the response if there is one.
struct http_result
{
    http_outcome outcome_ = http_outcome::response_lost;
    // Describes the error; empty if the exchange was answered.
    std::string detail_;
    http_response_message http_response_;
};

using http_callback = std::function<void(http_result result)>;

// Sends one request and reads its response on one connection, with limits on
// the time and on the size of the response. Use it on the thread of the stream;
// use http_caller to share connections among calls.
class http_exchange : public std::enable_shared_from_this<http_exchange>
{
public:
    // A stream that is open is used as it is; one that is not is connected by
    // start. body_limit is the maximum size of the response's body in bytes.
    http_exchange(std::unique_ptr<boost::beast::tcp_stream> stream,
                  http_request request,
                  std::size_t body_limit);

    // Calls back once, asynchronously, unless abandoned first. The timeout
    // applies to the exchange once connected. Connecting has its own limit, the
    // smaller of the timeout and 1 s, so that an unreachable server is detected
    // soon even if the timeout for a response is long.
    void start(const boost::asio::ip::tcp::endpoint& endpoint,
               milliseconds timeout,
               http_callback done);

    // Ends the exchange without calling back.
    void abandon();

    // Returns the connection for reuse if the response is complete, no bytes
    // follow it and the server keeps the connection open; null otherwise.
    std::unique_ptr<boost::beast::tcp_stream> take_stream();

private:
    void enable_tcp_keep_alive();
    void write();
    void on_connected(boost::system::error_code error);
    void on_written(boost::system::error_code error);
    void on_header(boost::system::error_code error);
    void on_read(boost::system::error_code error);
    void fail(http_outcome end, const std::string& detail);
    void finish(http_result result);

    std::unique_ptr<boost::beast::tcp_stream> stream_;
    http_request request_;
    boost::beast::http::response_parser<boost::beast::http::string_body>
        parser_;
    boost::beast::flat_buffer buffer_;
    std::size_t body_limit_;
    milliseconds timeout_;
    bool keeps_alive_ = false;
    bool write_failed_ = false;
    http_callback done_;
};

// Returns whether an open connection can be reused: the peer has neither closed
// it nor sent anything since the last response.
bool is_idle(boost::beast::tcp_stream& stream);

} // namespace anvilturn

#endif
