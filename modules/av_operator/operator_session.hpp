// Private to av_operator.

#ifndef AV_OPERATOR_OPERATOR_SESSION_HPP
#define AV_OPERATOR_OPERATOR_SESSION_HPP

#include <av_operator/operator_routes.hpp>
#include <av_operator/operator_server_options.hpp>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <cstdint>
#include <memory>
#include <optional>

namespace anvilturn
{

// A connection from an operator: reads requests, calls their handlers and
// writes the responses, one after the other.
class operator_session : public std::enable_shared_from_this<operator_session>
{
public:
    operator_session(boost::asio::ip::tcp::socket socket,
                     const operator_server_options& options,
                     const operator_routes& routes,
                     std::shared_ptr<const void> owner);

    // Reads the next request.
    void read();

    void close();

private:
    void on_read(boost::system::error_code error);
    void refuse(boost::system::error_code error);
    void handle(const operator_request& request);
    operator_completion make_completion(std::uint64_t number);
    void on_response(std::uint64_t number, const operator_response& response);
    void write(const operator_response& response);
    void on_written(boost::system::error_code error);

    boost::beast::tcp_stream stream_;
    boost::asio::steady_timer handler_timer_;
    const operator_server_options& options_;
    const operator_routes& routes_;
    // Shares ownership of the server, which holds the options and routes.
    std::shared_ptr<const void> owner_;
    boost::beast::flat_buffer buffer_;
    std::optional<
        boost::beast::http::request_parser<boost::beast::http::string_body>>
        parser_;
    std::uint64_t request_number_ = 0;
    std::uint64_t last_answered_number_ = 0;
    bool keeps_alive_ = false;
};

} // namespace anvilturn

#endif
