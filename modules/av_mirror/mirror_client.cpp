#include <av_mirror/mirror_client.hpp>

#include <av_mirror/mirror_pace.hpp>
#include <av_mirror/update_codec.hpp>
#include <av_net/duration.hpp>
#include <av_net/endpoint.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <utility>

namespace anvilturn
{
namespace
{

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

} // namespace

class mirror_client::implementation
    : public std::enable_shared_from_this<implementation>
{
public:
    implementation(asio::io_context& context,
                   const service_spec& defaults,
                   mirror_handlers handlers)
        : context_(context)
        , defaults_(defaults)
        , handlers_(std::move(handlers))
        , socket_(context)
        , timer_(context)
    {
    }

    void start(const std::string& address, const mirror_position& position)
    {
        const auto endpoint = parse_endpoint(address);
        if (!endpoint)
        {
            asio::post(context_,
                       [self = shared_from_this()]
                       {
                           self->end(
                               "the address is not an IP address and port");
                       });
            return;
        }
        subscription_ = write_subscription(position);
        expect_within(mirror_connect_timeout);
        socket_.async_connect(
            *endpoint,
            [self = shared_from_this()](const error_code& error)
            {
                self->on_connected(error);
            });
    }

    void stop()
    {
        ended_ = true;
        timer_.cancel();
        error_code ignored;
        socket_.close(ignored);
    }

private:
    void on_connected(const error_code& error)
    {
        if (failed(error, "can't connect"))
        {
            return;
        }
        error_code ignored;
        socket_.set_option(tcp::no_delay(true), ignored);
        asio::async_write(
            socket_,
            asio::buffer(subscription_),
            [self = shared_from_this()](const error_code& failure, std::size_t)
            {
                if (!self->failed(failure, "can't subscribe"))
                {
                    self->read_header();
                }
            });
    }

    void read_header()
    {
        expect_within(longest_silence);
        asio::async_read(
            socket_,
            asio::buffer(header_),
            [self = shared_from_this()](const error_code& error, std::size_t)
            {
                self->on_header(error);
            });
    }

    void on_header(const error_code& error)
    {
        if (failed(error, "the connection ended"))
        {
            return;
        }
        const auto length = frame_length({header_.data(), header_.size()});
        if (length > longest_frame_bytes)
        {
            end("a message exceeds the size limit");
            return;
        }
        body_.resize(length);
        asio::async_read(
            socket_,
            asio::buffer(body_),
            [self = shared_from_this()](const error_code& failure, std::size_t)
            {
                self->on_body(failure);
            });
    }

    void on_body(const error_code& error)
    {
        if (failed(error, "the connection ended"))
        {
            return;
        }
        const auto update = read_update(body_, defaults_);
        if (!update.ok())
        {
            end(std::string(update.status().message()));
            return;
        }
        if (!handlers_.on_update_(*update))
        {
            end("the update is outdated");
            return;
        }
        if (!ended_)
        {
            read_header();
        }
    }

    void expect_within(milliseconds time)
    {
        timer_.expires_after(to_duration(time));
        timer_.async_wait(
            [self = shared_from_this()](const error_code& error)
            {
                if (!error)
                {
                    self->end("timed out");
                }
            });
    }

    bool failed(const error_code& error, const char* what)
    {
        if (ended_)
        {
            return true;
        }
        if (error)
        {
            end(std::string(what) + ": " + error.message());
        }
        return static_cast<bool>(error);
    }

    void end(const std::string& reason)
    {
        if (ended_)
        {
            return;
        }
        stop();
        handlers_.on_end_(reason);
    }

    asio::io_context& context_;
    const service_spec defaults_;
    mirror_handlers handlers_;
    tcp::socket socket_;
    asio::steady_timer timer_;
    std::string subscription_;
    std::array<char, frame_header_bytes> header_{};
    std::string body_;
    bool ended_ = false;
};

mirror_client::mirror_client(asio::io_context& context,
                             const service_spec& defaults,
                             mirror_handlers handlers)
    : implementation_(std::make_shared<implementation>(
          context, defaults, std::move(handlers)))
{
}

mirror_client::~mirror_client()
{
    implementation_->stop();
}

void mirror_client::start(const std::string& address,
                          const mirror_position& position)
{
    implementation_->start(address, position);
}

} // namespace anvilturn
