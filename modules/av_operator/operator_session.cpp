#include <av_operator/operator_session.hpp>

#include <av_core/error.hpp>
#include <av_net/duration.hpp>

#include <boost/asio/post.hpp>

#include <charconv>
#include <string>
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

} // namespace

operator_session::operator_session(tcp::socket socket,
                                   const operator_server_options& options,
                                   const operator_routes& routes,
                                   std::shared_ptr<const void> owner)
    : stream_(std::move(socket))
    , handler_timer_(stream_.get_executor())
    , options_(options)
    , routes_(routes)
    , owner_(std::move(owner))
{
}

void operator_session::read()
{
    parser_.emplace();
    parser_->header_limit(static_cast<std::uint32_t>(options_.header_limit_));
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

void operator_session::close()
{
    handler_timer_.cancel();
    stream_.close();
}

void operator_session::on_read(boost::system::error_code error)
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
        write(plain_response(400,
                             "malformed query string or too many parameters"));
        return;
    }
    handle(*request);
}

void operator_session::refuse(boost::system::error_code error)
{
    keeps_alive_ = false;
    if (error == http::error::body_limit)
    {
        write(error_response(
            make_error(error_kind::release_too_large,
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

void operator_session::handle(const operator_request& request)
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
                    plain_response(504,
                                   "the operation exceeded its time limit"));
            }
        });
    routes_.handle(request, make_completion(number));
}

// Returns a completion that may be called on any thread; it posts the
// response to the thread of this session.
operator_completion operator_session::make_completion(std::uint64_t number)
{
    return [weak = weak_from_this(), executor = stream_.get_executor(), number](
               operator_response response)
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
void operator_session::on_response(std::uint64_t number,
                                   const operator_response& response)
{
    if (number != request_number_ || last_answered_number_ == number)
    {
        return;
    }
    last_answered_number_ = number;
    handler_timer_.cancel();
    write(response);
}

void operator_session::write(const operator_response& response)
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
                      [self = shared_from_this(),
                       message](boost::system::error_code error, std::size_t)
                      {
                          self->on_written(error);
                      });
}

void operator_session::on_written(boost::system::error_code error)
{
    if (error || !keeps_alive_)
    {
        close();
        return;
    }
    read();
}

} // namespace anvilturn
