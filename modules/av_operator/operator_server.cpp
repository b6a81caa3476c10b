#include <av_operator/operator_server.hpp>

#include <av_core/error.hpp>
#include <av_net/duration.hpp>
#include <av_net/endpoint.hpp>
#include <av_operator/operator_session.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <utility>

namespace anvilturn
{
namespace
{

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

constexpr milliseconds accept_retry_delay{100.0};

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

    operator_routes& routes()
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
            error = listen_at(acceptor_, *endpoint);
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
            const auto opened = std::make_shared<operator_session>(
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
    operator_routes routes_;
    std::uint64_t session_number_ = 0;
    std::map<std::uint64_t, std::weak_ptr<operator_session>> sessions_;
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
