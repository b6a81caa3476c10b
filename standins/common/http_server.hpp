#ifndef STANDINS_COMMON_HTTP_SERVER_HPP
#define STANDINS_COMMON_HTTP_SERVER_HPP

#include <av_core/milliseconds.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace anvilturn
{

using http_request =
    boost::beast::http::request<boost::beast::http::string_body>;
using http_response =
    boost::beast::http::response<boost::beast::http::string_body>;

class http_session;

// Called with the session of each request. Answers it, at once or later, with
// one of reply, reply_text, reply_raw and drop.
using http_handler = std::function<void(const std::shared_ptr<http_session>&)>;

// Connection handling of a server.
struct http_server_options
{
    // Connections above this number are closed on accept; zero means no limit.
    int connection_limit_ = 0;
    // Delay until the first request of a new connection is read.
    milliseconds connect_delay_{0.0};
};

// State shared by a server and its sessions.
struct http_server_state
{
    http_server_options options_;
    http_handler handler_;
    int connections_ = 0;
    int peak_connections_ = 0;
    std::uint64_t refused_connections_ = 0;
};

// One connection of an HTTP server. Each request is answered by exactly one of
// reply, reply_text, reply_raw and drop. Single-threaded.
class http_session : public std::enable_shared_from_this<http_session>
{
public:
    http_session(boost::asio::ip::tcp::socket socket,
                 std::shared_ptr<http_server_state> server);
    ~http_session();
    http_session(const http_session&) = delete;
    http_session& operator=(const http_session&) = delete;

    // Reads the first request after the connect delay.
    void start();

    // Returns the request that is being handled.
    const http_request& request() const noexcept;

    // Returns the number of earlier requests on this connection.
    std::uint64_t previous_request_count() const noexcept;

    // Sends the response. Sets its HTTP version, keep-alive and length.
    void reply(http_response response);

    // Sends a plain-text response.
    void reply_text(unsigned status, std::string text);

    // Sends the bytes unchanged, then closes the connection or reads the next
    // request. Use it for malformed responses.
    void reply_raw(std::string bytes, bool close_after);

    // Closes the connection without a response, with a TCP reset if asked.
    void drop(bool with_reset = false);

    // Calls back once if the peer closes the connection before the response.
    void on_peer_closed(std::function<void()> callback);

private:
    void read_next();
    void handle_read(boost::system::error_code error);
    void watch_for_close();
    void finish_reply(boost::system::error_code error, bool keep_open);

    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer connect_delay_timer_;
    std::shared_ptr<http_server_state> server_;
    boost::beast::flat_buffer buffer_;
    std::optional<
        boost::beast::http::request_parser<boost::beast::http::string_body>>
        parser_;
    std::uint64_t request_count_ = 0;
    bool close_watch_active_ = false;
    std::function<void()> peer_closed_;
};

// HTTP/1.1 server on one address. It must live as long as its io_context runs.
class http_server
{
public:
    http_server(boost::asio::io_context& context,
                const boost::asio::ip::tcp::endpoint& address,
                http_server_options options,
                http_handler handler);

    // Closes or reopens the listening socket; open connections stay open.
    void set_listening(bool listening);

    const http_server_state& state() const noexcept;

private:
    void open();
    void accept_next();

    boost::asio::io_context& context_;
    boost::asio::ip::tcp::endpoint address_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::shared_ptr<http_server_state> state_;
};

// Returns the value of a query parameter of a request target such as
// "/v1/list?prefix=P", or default_value if the parameter is absent.
std::string query_value(std::string_view target,
                        std::string_view key,
                        std::string_view default_value = "");

// Returns the path of a request target without the query.
std::string_view path_of(std::string_view target);

// Parses an IP address with a port, such as "127.0.0.1:80"; throws
// std::runtime_error if it is malformed. Use parse_endpoint to handle that.
boost::asio::ip::tcp::endpoint require_endpoint(std::string_view text);

} // namespace anvilturn

#endif
