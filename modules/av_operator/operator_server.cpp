#include <av_operator/operator_server.hpp>

#include <av_core/error.hpp>
#include <av_net/duration.hpp>
#include <av_net/endpoint.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <cassert>
#include <charconv>
#include <map>
#include <optional>
#include <utility>

namespace anvilturn
{
namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

constexpr std::size_t query_parameter_limit = 16;
constexpr milliseconds accept_retry_delay{100.0};

std::string to_string(beast::string_view text)
{
    return std::string(text.data(), text.size());
}

// Decodes %XX; returns nothing if an escape sequence is malformed.
std::optional<std::string> decode_percent(std::string_view text)
{
    std::string result;
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        if (text[i] != '%')
        {
            result += text[i];
            continue;
        }
        unsigned char byte = 0;
        const char* first = text.data() + i + 1;
        if (i + 2 >= text.size() ||
            std::from_chars(first, first + 2, byte, 16).ptr != first + 2)
        {
            return std::nullopt;
        }
        result += static_cast<char>(byte);
        i += 2;
    }
    return result;
}

bool parse_query(std::string_view text, operator_request& into)
{
    while (!text.empty())
    {
        const auto end = std::min(text.find('&'), text.size());
        const std::string_view part = text.substr(0, end);
        text.remove_prefix(std::min(end + 1, text.size()));
        const auto equals = std::min(part.find('='), part.size());
        const auto name = decode_percent(part.substr(0, equals));
        const auto value =
            decode_percent(part.substr(std::min(equals + 1, part.size())));
        if (!name || !value || into.query_.size() >= query_parameter_limit)
        {
            return false;
        }
        into.query_[*name] = *value;
    }
    return true;
}

std::optional<operator_request>
to_operator_request(http::request<http::string_body> message)
{
    operator_request request;
    request.method_ = to_string(message.method_string());
    const std::string target = to_string(message.target());
    const auto query_start = std::min(target.find('?'), target.size());
    request.path_ = target.substr(0, query_start);
    const bool is_valid = parse_query(std::string_view(target).substr(std::min(
                                          query_start + 1, target.size())),
                                      request);
    request.body_ = std::move(message.body());
    return is_valid ? std::optional(std::move(request)) : std::nullopt;
}

// Handlers by path, then by method.
class route_table
{
public:
    void add(const std::string& method,
             const std::string& path,
             operator_async_handler handler)
    {
        const bool is_new =
            routes_[path].emplace(method, std::move(handler)).second;
        assert(is_new && "duplicate route");
        static_cast<void>(is_new);
    }

    // Calls the handler of the request; responds with an error if the path is
    // unknown, or with 405 if the path has no handler for the method.
    void handle(const operator_request& request, operator_completion done) const
    {
        const auto path = routes_.find(request.path_);
        if (path == routes_.end())
        {
            done(error_response(make_error(error_kind::object_unknown,
                                           "path " + request.path_ +
                                               "; known paths: " + paths())));
            return;
        }
        const auto method = path->second.find(request.method_);
        if (method == path->second.end())
        {
            done(plain_response(405,
                                request.path_ + " accepts " +
                                    path->second.begin()->first));
            return;
        }
        method->second(request, std::move(done));
    }

private:
    std::string paths() const
    {
        std::string result;
        for (const auto& entry : routes_)
        {
            result += (result.empty() ? "" : " ") + entry.first;
        }
        return result;
    }

    std::map<std::string, std::map<std::string, operator_async_handler>>
        routes_;
};

// A connection from an operator.
class session : public std::enable_shared_from_this<session>
{
public:
    session(tcp::socket socket,
            const operator_server_options& options,
            const route_table& routes,
            std::shared_ptr<const void> owner)
        : stream_(std::move(socket))
        , handler_timer_(stream_.get_executor())
        , options_(options)
        , routes_(routes)
        , owner_(std::move(owner))
    {
    }

    void read()
    {
        parser_.emplace();
        parser_->header_limit(
            static_cast<std::uint32_t>(options_.header_limit_));
        parser_->body_limit(options_.body_limit_);
        stream_.expires_after(to_duration(options_.transfer_timeout_));
        http::async_read(stream_,
                         buffer_,
                         *parser_,
                         [self = shared_from_this()](
                             boost::system::error_code error, std::size_t)
                         {
                             self->on_read(error);
                         });
    }

    void close()
    {
        handler_timer_.cancel();
        stream_.close();
    }

private:
    void on_read(boost::system::error_code error)
    {
        if (error == http::error::end_of_stream ||
            error == http::error::partial_message ||
            error == beast::error::timeout || !stream_.socket().is_open())
        {
            close();
            return;
        }
        if (error)
        {
            refuse(error);
            return;
        }
        keeps_alive_ = parser_->keep_alive();
        const auto request = to_operator_request(parser_->release());
        if (!request)
        {
            write(plain_response(
                400, "malformed query string or too many parameters"));
            return;
        }
        handle(*request);
    }

    void refuse(boost::system::error_code error)
    {
        keeps_alive_ = false;
        if (error == http::error::body_limit)
        {
            write(error_response(make_error(
                error_kind::release_too_large,
                "request body exceeds the size limit of " +
                    std::to_string(options_.body_limit_) + " bytes")));
        }
        else if (error == http::error::header_limit)
        {
            write(plain_response(431, "request header exceeds the size limit"));
        }
        else
        {
            write(plain_response(400, "malformed request: " + error.message()));
        }
    }

    void handle(const operator_request& request)
    {
        const std::uint64_t number = ++request_number_;
        stream_.expires_never();
        handler_timer_.expires_after(to_duration(options_.handler_timeout_));
        handler_timer_.async_wait(
            [self = shared_from_this(), number](boost::system::error_code error)
            {
                if (!error)
                {
                    self->on_response(
                        number,
                        plain_response(
                            504, "the operation exceeded its time limit"));
                }
            });
        routes_.handle(request, make_completion(number));
    }

    // Returns a completion that may be called on any thread; it posts the
    // response to the thread of this session.
    operator_completion make_completion(std::uint64_t number)
    {
        return [weak = weak_from_this(),
                executor = stream_.get_executor(),
                number](operator_response response)
        {
            asio::post(executor,
                       [weak, number, response = std::move(response)]
                       {
                           if (const auto self = weak.lock())
                           {
                               self->on_response(number, response);
                           }
                       });
        };
    }

    // Ignores a response that arrives after the handler's time limit and a
    // second response to the same request.
    void on_response(std::uint64_t number, const operator_response& response)
    {
        if (number != request_number_ || last_answered_number_ == number)
        {
            return;
        }
        last_answered_number_ = number;
        handler_timer_.cancel();
        write(response);
    }

    void write(const operator_response& response)
    {
        auto message = std::make_shared<http::response<http::string_body>>();
        message->version(11);
        message->result(response.status_);
        message->set(http::field::content_type, response.content_type_);
        message->body() = response.body_;
        message->keep_alive(keeps_alive_);
        message->prepare_payload();
        stream_.expires_after(to_duration(options_.transfer_timeout_));
        http::async_write(stream_,
                          *message,
                          [self = shared_from_this(), message](
                              boost::system::error_code error, std::size_t)
                          {
                              self->on_written(error);
                          });
    }

    void on_written(boost::system::error_code error)
    {
        if (error || !keeps_alive_)
        {
            close();
            return;
        }
        read();
    }

    beast::tcp_stream stream_;
    asio::steady_timer handler_timer_;
    const operator_server_options& options_;
    const route_table& routes_;
    // Shares ownership of the server, which holds the options and routes.
    std::shared_ptr<const void> owner_;
    beast::flat_buffer buffer_;
    std::optional<http::request_parser<http::string_body>> parser_;
    std::uint64_t request_number_ = 0;
    std::uint64_t last_answered_number_ = 0;
    bool keeps_alive_ = false;
};

} // namespace

class operator_server::implementation
    : public std::enable_shared_from_this<implementation>
{
public:
    implementation(asio::io_context& context, operator_server_options options)
        : acceptor_(context)
        , accept_timer_(context)
        , options_(std::move(options))
    {
    }

    route_table& routes()
    {
        return routes_;
    }

    absl::Status start()
    {
        const auto endpoint = parse_endpoint(options_.address_);
        boost::system::error_code error =
            asio::error::make_error_code(asio::error::invalid_argument);
        if (endpoint)
        {
            error = listen(*endpoint);
        }
        if (error)
        {
            return make_error(error_kind::settings_invalid,
                              "can't listen for operator requests on " +
                                  options_.address_ + ": " + error.message());
        }
        accept();
        return absl::OkStatus();
    }

    std::uint16_t port() const
    {
        boost::system::error_code error;
        return acceptor_.local_endpoint(error).port();
    }

    void stop()
    {
        boost::system::error_code error;
        acceptor_.close(error);
        accept_timer_.cancel();
        for (const auto& entry : sessions_)
        {
            if (const auto open = entry.second.lock())
            {
                open->close();
            }
        }
        sessions_.clear();
    }

private:
    boost::system::error_code listen(const tcp::endpoint& endpoint)
    {
        boost::system::error_code error;
        acceptor_.open(endpoint.protocol(), error);
        if (!error)
        {
            acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
        }
        if (!error)
        {
            acceptor_.bind(endpoint, error);
        }
        if (!error)
        {
            acceptor_.listen(asio::socket_base::max_listen_connections, error);
        }
        return error;
    }

    void accept()
    {
        acceptor_.async_accept(
            [self = shared_from_this()](boost::system::error_code error,
                                        tcp::socket socket)
            {
                self->on_accepted(error, std::move(socket));
            });
    }

    void on_accepted(boost::system::error_code error, tcp::socket socket)
    {
        if (!acceptor_.is_open())
        {
            return;
        }
        remove_closed_sessions();
        if (!error && sessions_.size() < options_.connection_limit_)
        {
            const auto opened = std::make_shared<session>(
                std::move(socket), options_, routes_, shared_from_this());
            sessions_[++session_number_] = opened;
            opened->read();
        }
        if (error)
        {
            accept_later();
            return;
        }
        accept();
    }

    // Retries after a delay: an error such as too many open files would
    // otherwise recur at once in a busy loop.
    void accept_later()
    {
        accept_timer_.expires_after(to_duration(accept_retry_delay));
        accept_timer_.async_wait(
            [self = shared_from_this()](boost::system::error_code error)
            {
                if (!error && self->acceptor_.is_open())
                {
                    self->accept();
                }
            });
    }

    void remove_closed_sessions()
    {
        for (auto entry = sessions_.begin(); entry != sessions_.end();)
        {
            entry = entry->second.expired() ? sessions_.erase(entry) : ++entry;
        }
    }

    tcp::acceptor acceptor_;
    asio::steady_timer accept_timer_;
    operator_server_options options_;
    route_table routes_;
    std::uint64_t session_number_ = 0;
    std::map<std::uint64_t, std::weak_ptr<session>> sessions_;
};

operator_server::operator_server(asio::io_context& context,
                                 const operator_server_options& options)
    : implementation_(std::make_shared<implementation>(context, options))
{
}

operator_server::~operator_server()
{
    stop();
}

void operator_server::add_route(const std::string& method,
                                const std::string& path,
                                operator_handler handler)
{
    add_async_route(
        method,
        path,
        [handler = std::move(handler)](const operator_request& request,
                                       const operator_completion& done)
        {
            done(handler(request));
        });
}

void operator_server::add_async_route(const std::string& method,
                                      const std::string& path,
                                      operator_async_handler handler)
{
    implementation_->routes().add(method, path, std::move(handler));
}

absl::Status operator_server::start()
{
    return implementation_->start();
}

std::uint16_t operator_server::port() const
{
    return implementation_->port();
}

void operator_server::stop()
{
    implementation_->stop();
}

} // namespace anvilturn
