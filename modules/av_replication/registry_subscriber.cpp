#include <av_replication/registry_subscriber.hpp>

#include <av_core/monotonic_clock.hpp>
#include <av_net/duration.hpp>
#include <av_net/endpoint.hpp>
#include <av_net/frame_reader.hpp>
#include <av_replication/replication_timing.hpp>
#include <av_replication/update_codec.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <optional>
#include <utility>

namespace anvilturn
{
namespace
{

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

} // namespace

class registry_subscriber::implementation
    : public std::enable_shared_from_this<implementation>
{
public:
    implementation(asio::io_context& context,
                   const service_spec& defaults,
                   subscriber_handlers handlers)
        : context_(context)
        , defaults_(defaults)
        , handlers_(std::move(handlers))
        , socket_(context)
        , timer_(context)
    {
    }

    void start(const std::string& address, const replication_position& position)
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
        restart_timeout(watcher_connect_timeout);
        socket_.async_connect(
            *endpoint,
            [self = shared_from_this()](const error_code& error)
            {
                self->on_connected(error);
            });
    }

    bool is_receiving_contents() const
    {
        return !ended_ && awaits_contents_ && !reader_.body().empty();
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
        if (end_on_error(error, "can't connect"))
        {
            return;
        }
        error_code ignored;
        socket_.set_option(tcp::no_delay(true), ignored);
        message_began_at_ = monotonic_now();
        asio::async_write(
            socket_,
            asio::buffer(subscription_),
            [self = shared_from_this()](const error_code& failure, std::size_t)
            {
                if (!self->end_on_error(failure, "can't subscribe"))
                {
                    self->read_frame();
                }
            });
    }

    void read_frame()
    {
        restart_timeout(watcher_timeout);
        frame_handlers handlers;
        handlers.on_header_ = [self = shared_from_this()]
        {
            self->on_header();
        };
        handlers.on_progress_ = [self = shared_from_this()]
        {
            self->on_progress();
        };
        handlers.on_frame_ =
            [self = shared_from_this()](const error_code& error)
        {
            self->on_frame(error);
        };
        reader_.read(std::move(handlers));
    }

    void on_header()
    {
        if (!message_began_at_)
        {
            message_began_at_ = monotonic_now();
        }
    }

    // Called as parts of a message arrive. The first one with contents may be a
    // large snapshot: requested anew from another watcher, it would take as
    // long again. Later ones must be complete within the time limit, because
    // the changes that follow wait behind them.
    void on_progress()
    {
        if (!ended_ && awaits_contents_)
        {
            restart_timeout(watcher_timeout);
        }
    }

    void on_frame(const error_code& error)
    {
        if (error == frame_too_long)
        {
            end("a message exceeds the size limit");
            return;
        }
        if (end_on_error(error, "the connection ended"))
        {
            return;
        }
        auto update = read_update(reader_.body(), defaults_);
        if (!update.ok())
        {
            end(std::string(update.status().message()));
            return;
        }
        reader_.clear();
        update->transfer_time_ = monotonic_now() - *message_began_at_;
        message_began_at_.reset();
        // A watcher that is not ready sends status reports first.
        awaits_contents_ = awaits_contents_ && update->epoch_ == 0;
        if (!handlers_.on_update_(*update))
        {
            end("the update is outdated");
            return;
        }
        if (!ended_)
        {
            read_frame();
        }
    }

    void restart_timeout(milliseconds time)
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

    bool end_on_error(const error_code& error, const char* reason)
    {
        if (ended_)
        {
            return true;
        }
        if (error)
        {
            end(std::string(reason) + ": " + error.message());
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
    subscriber_handlers handlers_;
    tcp::socket socket_;
    asio::steady_timer timer_;
    std::string subscription_;
    frame_reader reader_{socket_, max_frame_bytes};
    bool awaits_contents_ = true;
    // When the message that is being received was requested, or began to
    // arrive; empty between two messages.
    std::optional<milliseconds> message_began_at_;
    bool ended_ = false;
};

registry_subscriber::registry_subscriber(asio::io_context& context,
                                         const service_spec& defaults,
                                         subscriber_handlers handlers)
    : implementation_(std::make_shared<implementation>(
          context, defaults, std::move(handlers)))
{
}

registry_subscriber::~registry_subscriber()
{
    implementation_->stop();
}

void registry_subscriber::start(const std::string& address,
                                const replication_position& position)
{
    implementation_->start(address, position);
}

bool registry_subscriber::is_receiving_contents() const
{
    return implementation_->is_receiving_contents();
}

} // namespace anvilturn
