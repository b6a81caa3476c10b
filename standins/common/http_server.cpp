#include <common/http_server.hpp>

#include <av_net/endpoint.hpp>

#include <boost/asio/write.hpp>

#include <sys/socket.h>

#include <chrono>
#include <stdexcept>
#include <utility>

namespace anvilturn
{
namespace
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

constexpr std::uint64_t request_body_limit_bytes = 64ULL << 20U;

} // namespace

http_session::http_session(tcp::socket socket,
                           std::shared_ptr<http_server_state> server)
    : socket_(std::move(socket))
    , connect_delay_timer_(socket_.get_executor())
    , server_(std::move(server))
{
    ++server_->connections_;
    server_->peak_connections_ =
        std::max(server_->peak_connections_, server_->connections_);
}

http_session::~http_session()
{
    --server_->connections_;
}

void http_session::start()
{
    boost::system::error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    if (server_->options_.connect_delay_ <= milliseconds(0.0))
    {
        read_next();
        return;
    }
    connect_delay_timer_.expires_after(
        std::chrono::microseconds(static_cast<std::int64_t>(
            server_->options_.connect_delay_.count() * 1000.0)));
    connect_delay_timer_.async_wait(
        [self = shared_from_this()](auto)
        {
            self->read_next();
        });
}

const http_request& http_session::request() const noexcept
{
    return parser_->get();
}

std::uint64_t http_session::previous_request_count() const noexcept
{
    return request_count_ - 1;
}

void http_session::read_next()
{
    parser_.emplace();
    parser_->body_limit(request_body_limit_bytes);
    http::async_read(socket_,
                     buffer_,
                     *parser_,
                     [self = shared_from_this()](auto error, std::size_t)
                     {
                         self->handle_read(error);
                     });
}

void http_session::handle_read(boost::system::error_code error)
{
    if (error)
    {
        return;
    }
    ++request_count_;
    server_->handler_(shared_from_this());
}

void http_session::reply(http_response response)
{
    response.version(11);
    response.keep_alive(request().keep_alive());
    response.prepare_payload();
    peer_closed_ = nullptr;
    const bool keep_open = response.keep_alive();
    auto message = std::make_shared<http_response>(std::move(response));
    http::async_write(socket_,
                      *message,
                      [self = shared_from_this(), message, keep_open](
                          auto write_error, std::size_t)
                      {
                          self->finish_reply(write_error, keep_open);
                      });
}

void http_session::reply_text(unsigned status, std::string text)
{
    http_response response;
    response.result(status);
    response.set(http::field::content_type, "text/plain");
    response.body() = std::move(text);
    reply(std::move(response));
}

void http_session::reply_raw(std::string bytes, bool close_after)
{
    peer_closed_ = nullptr;
    auto message = std::make_shared<std::string>(std::move(bytes));
    asio::async_write(socket_,
                      asio::buffer(*message),
                      [self = shared_from_this(), message, close_after](
                          auto write_error, std::size_t)
                      {
                          self->finish_reply(write_error, !close_after);
                      });
}

void http_session::finish_reply(boost::system::error_code error, bool keep_open)
{
    if (!error && keep_open)
    {
        read_next();
        return;
    }
    boost::system::error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_both, ignored);
    socket_.close(ignored);
}

void http_session::drop(bool with_reset)
{
    peer_closed_ = nullptr;
    boost::system::error_code ignored;
    if (with_reset)
    {
        socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    }
    socket_.close(ignored);
}

void http_session::on_peer_closed(std::function<void()> callback)
{
    peer_closed_ = std::move(callback);
    watch_for_close();
}

void http_session::watch_for_close()
{
    if (close_watch_active_)
    {
        return;
    }
    close_watch_active_ = true;
    socket_.async_wait(
        tcp::socket::wait_read,
        [self = shared_from_this()](boost::system::error_code error)
        {
            self->close_watch_active_ = false;
            if (error || !self->peer_closed_)
            {
                return;
            }
            char byte = 0;
            const auto count = ::recv(self->socket_.native_handle(),
                                      &byte,
                                      1,
                                      MSG_PEEK | MSG_DONTWAIT);
            if (count > 0)
            {
                return;
            }
            if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
            {
                self->watch_for_close();
                return;
            }
            const auto callback = std::exchange(self->peer_closed_, nullptr);
            callback();
        });
}

http_server::http_server(asio::io_context& context,
                         const tcp::endpoint& address,
                         http_server_options options,
                         http_handler handler)
    : context_(context)
    , address_(address)
    , acceptor_(context)
    , state_(std::make_shared<http_server_state>())
{
    state_->options_ = options;
    state_->handler_ = std::move(handler);
    open();
}

void http_server::set_listening(bool listening)
{
    if (listening == acceptor_.is_open())
    {
        return;
    }
    if (listening)
    {
        open();
        return;
    }
    boost::system::error_code ignored;
    acceptor_.close(ignored);
}

const http_server_state& http_server::state() const noexcept
{
    return *state_;
}

void http_server::open()
{
    acceptor_.open(address_.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(address_);
    acceptor_.listen(asio::socket_base::max_listen_connections);
    accept_next();
}

void http_server::accept_next()
{
    acceptor_.async_accept(
        [this](boost::system::error_code error, tcp::socket socket)
        {
            if (!acceptor_.is_open())
            {
                return;
            }
            const int limit = state_->options_.connection_limit_;
            if (!error && limit > 0 && state_->connections_ >= limit)
            {
                ++state_->refused_connections_;
                boost::system::error_code ignored;
                socket.close(ignored);
            }
            else if (!error)
            {
                std::make_shared<http_session>(std::move(socket), state_)
                    ->start();
            }
            accept_next();
        });
}

std::string query_value(std::string_view target,
                        std::string_view key,
                        std::string_view default_value)
{
    auto position = target.find('?');
    while (position != std::string_view::npos)
    {
        target.remove_prefix(position + 1);
        const auto pair = target.substr(0, target.find('&'));
        const auto equals = pair.find('=');
        if (pair.substr(0, equals) == key && equals != std::string_view::npos)
        {
            return std::string(pair.substr(equals + 1));
        }
        position = target.find('&');
    }
    return std::string(default_value);
}

std::string_view path_of(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

tcp::endpoint require_endpoint(std::string_view text)
{
    const auto endpoint = parse_endpoint(text);
    if (!endpoint)
    {
        throw std::runtime_error("expected ADDRESS:PORT, got: " +
                                 std::string(text));
    }
    return *endpoint;
}

} // namespace anvilturn
