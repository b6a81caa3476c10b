#include <av_net/http_exchange.hpp>

#include <av_core/http_status.hpp>
#include <av_net/duration.hpp>

#include <netinet/tcp.h>

#include <algorithm>
#include <utility>

namespace anvilturn
{
namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

constexpr std::uint32_t max_response_header_bytes = 8192;
constexpr milliseconds connect_time_limit{1000.0};
// TCP keep-alive settings: a peer that stopped responding is detected within
// about 3 s, also while waiting for a response.
constexpr int keep_alive_idle_seconds = 1;
constexpr int keep_alive_interval_seconds = 1;
constexpr int keep_alive_probes = 2;
constexpr int user_timeout_ms = 3000;

template <int Level, int Name>
using integer_option = asio::detail::socket_option::integer<Level, Name>;

// Returns whether the response violated the protocol, as opposed to being
// incomplete.
bool is_protocol_error(boost::system::error_code error)
{
    const auto closed_error = http::make_error_code(http::error::end_of_stream);
    return error.category() == closed_error.category() &&
           error != closed_error && error != http::error::partial_message;
}

} // namespace

http_exchange::http_exchange(std::unique_ptr<beast::tcp_stream> stream,
                             http_request request,
                             std::size_t body_limit)
    : stream_(std::move(stream))
    , request_(std::move(request))
    , body_limit_(body_limit)
{
    parser_.body_limit(body_limit);
    parser_.header_limit(max_response_header_bytes);
    request_.prepare_payload();
}

void http_exchange::start(const tcp::endpoint& endpoint,
                          milliseconds timeout,
                          http_callback done)
{
    done_ = std::move(done);
    timeout_ = timeout;
    if (stream_->socket().is_open())
    {
        write();
        return;
    }
    stream_->expires_after(to_duration(std::min(timeout, connect_time_limit)));
    stream_->async_connect(
        endpoint,
        [self = shared_from_this()](boost::system::error_code error)
        {
            self->on_connected(error);
        });
}

void http_exchange::abandon()
{
    done_ = nullptr;
    stream_->cancel();
}

std::unique_ptr<beast::tcp_stream> http_exchange::take_stream()
{
    if (!keeps_alive_)
    {
        return nullptr;
    }
    stream_->expires_never();
    return std::move(stream_);
}

void http_exchange::on_connected(boost::system::error_code error)
{
    if (error)
    {
        fail(http_outcome::not_connected, "can't connect: " + error.message());
        return;
    }
    stream_->socket().set_option(tcp::no_delay(true), error);
    enable_tcp_keep_alive();
    write();
}

void http_exchange::enable_tcp_keep_alive()
{
    auto& socket = stream_->socket();
    boost::system::error_code ignored;
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    socket.set_option(
        integer_option<IPPROTO_TCP, TCP_KEEPIDLE>(keep_alive_idle_seconds),
        ignored);
    socket.set_option(
        integer_option<IPPROTO_TCP, TCP_KEEPINTVL>(keep_alive_interval_seconds),
        ignored);
    socket.set_option(
        integer_option<IPPROTO_TCP, TCP_KEEPCNT>(keep_alive_probes), ignored);
    socket.set_option(
        integer_option<IPPROTO_TCP, TCP_USER_TIMEOUT>(user_timeout_ms),
        ignored);
}

void http_exchange::write()
{
    stream_->expires_after(to_duration(timeout_));
    http::async_write(*stream_,
                      request_,
                      [self = shared_from_this()](
                          boost::system::error_code error, std::size_t)
                      {
                          self->on_written(error);
                      });
}

void http_exchange::on_written(boost::system::error_code error)
{
    if (error == beast::error::timeout)
    {
        fail(http_outcome::response_lost,
             "sending the request timed out: " + error.message());
        return;
    }
    // After any other error the server may still have sent a response, for
    // instance if it refuses a body without reading all of it.
    write_failed_ = error.failed();
    http::async_read_header(*stream_,
                            buffer_,
                            parser_,
                            [self = shared_from_this()](
                                boost::system::error_code failure, std::size_t)
                            {
                                self->on_header(failure);
                            });
}

void http_exchange::on_header(boost::system::error_code error)
{
    // Beast 1.74 does not apply the body limit to responses with a
    // Content-Length.
    if (!error && parser_.content_length() &&
        *parser_.content_length() > body_limit_)
    {
        error = http::make_error_code(http::error::body_limit);
    }
    if (!error && !is_http_status(static_cast<int>(parser_.get().result_int())))
    {
        error = http::make_error_code(http::error::bad_status);
    }
    if (error || parser_.is_done())
    {
        on_read(error);
        return;
    }
    http::async_read(*stream_,
                     buffer_,
                     parser_,
                     [self = shared_from_this()](
                         boost::system::error_code failure, std::size_t)
                     {
                         self->on_read(failure);
                     });
}

void http_exchange::on_read(boost::system::error_code error)
{
    if (is_protocol_error(error))
    {
        fail(http_outcome::malformed,
             "invalid HTTP response: " + error.message());
    }
    else if (error)
    {
        fail(http_outcome::response_lost,
             "incomplete HTTP response: " + error.message());
    }
    else if (write_failed_ && parser_.need_eof())
    {
        // The failed write took the socket's error, so a reset looks like the
        // orderly end of a response without a length.
        fail(http_outcome::response_lost,
             "incomplete HTTP response: the connection broke while the request "
             "was sent");
    }
    else
    {
        keeps_alive_ = parser_.keep_alive() && buffer_.size() == 0;
        finish({http_outcome::answered, {}, parser_.release()});
    }
}

void http_exchange::fail(http_outcome end, const std::string& detail)
{
    finish({end, detail, {}});
}

void http_exchange::finish(http_result result)
{
    const http_callback done = std::move(done_);
    done_ = nullptr;
    if (done)
    {
        done(std::move(result));
    }
}

bool is_idle(beast::tcp_stream& stream)
{
    boost::system::error_code error;
    stream.socket().non_blocking(true, error);
    char byte = 0;
    stream.socket().receive(
        asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    return error == asio::error::would_block;
}

} // namespace anvilturn
