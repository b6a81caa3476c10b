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
    // No connection: nothing was sent.
    not_connected,
    // Something may have been sent, but no whole answer came in time.
    lost,
    // What came back is no HTTP, or is over the limits.
    malformed
};

// The end of an exchange.
struct http_result
{
    http_outcome end_ = http_outcome::lost;
    // Why it did not end in an answer.
    std::string detail_;
    http_response_message http_response_;
};

using http_callback = std::function<void(http_result result)>;

// One request and its answer on one connection, within one time limit and a
// limit on the size of the answer. Use it on the thread of the stream.
class http_exchange : public std::enable_shared_from_this<http_exchange>
{
public:
    // An open stream is used as it is, another one is connected.
    http_exchange(std::unique_ptr<boost::beast::tcp_stream> stream,
                  http_request request,
                  std::size_t body_limit);

    // Calls back once, later, unless it is abandoned before. The timeout holds
    // for the exchange once a connection stands; making one has a limit of its
    // own, so that a long wait for an answer does not delay the finding that
    // the server is away.
    void start(const boost::asio::ip::tcp::endpoint& endpoint,
               milliseconds timeout,
               http_callback done);

    // Ends the exchange without calling back.
    void abandon();

    // Returns the connection if the exchange ended at a boundary with nothing
    // left to read and the server keeps it open, else null.
    std::unique_ptr<boost::beast::tcp_stream> take_stream();

private:
    void keep_alive();
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
    http_callback done_;
};

// Whether nobody closed an open connection or wrote to it since its last
// answer.
bool is_idle(boost::beast::tcp_stream& stream);

} // namespace anvilturn

#endif
