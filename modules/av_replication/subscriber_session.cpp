#include <av_replication/subscriber_session.hpp>

#include <av_core/monotonic_clock.hpp>
#include <av_replication/update_codec.hpp>

#include <boost/asio/write.hpp>

#include <utility>

namespace anvilturn
{
namespace
{

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

// A subscriber that takes longer to read a message is disconnected.
constexpr milliseconds max_send_time{20000.0};
// Keeps updates from growing old in the send buffer of a slow link.
constexpr int send_buffer_bytes = 64 * 1024;
constexpr std::size_t max_subscription_bytes = 4096;

} // namespace

subscriber_session::subscriber_session(tcp::socket socket,
                                       update_composer& composer,
                                       handlers handlers)
    : socket_(std::move(socket))
    , composer_(composer)
    , handlers_(std::move(handlers))
    , reader_(socket_, max_subscription_bytes)
{
}

void subscriber_session::start()
{
    error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    socket_.set_option(asio::socket_base::send_buffer_size(send_buffer_bytes),
                       ignored);
    frame_handlers handlers;
    handlers.on_frame_ = [self = shared_from_this()](const error_code& error)
    {
        self->on_frame(error);
    };
    reader_.read(std::move(handlers));
}

void subscriber_session::notify(const shared_frame& update_frame)
{
    if (!position_)
    {
        return;
    }
    if (frame_)
    {
        miss_update();
        return;
    }
    if (is_up_to_date_)
    {
        position_ = composer_.position_after_update(*position_);
        write(update_frame);
        return;
    }
    send_missing();
}

void subscriber_session::close()
{
    error_code ignored;
    socket_.close(ignored);
}

std::string subscriber_session::peer_address() const
{
    return position_ ? position_->peer_address_ : std::string();
}

void subscriber_session::on_frame(const error_code& error)
{
    if (error)
    {
        end();
        return;
    }
    const auto position = read_subscription(reader_.body());
    if (!position.ok())
    {
        end();
        return;
    }
    if (position->status_query_only_)
    {
        write(composer_.status_report());
    }
    else
    {
        position_ = *position;
        notify(nullptr);
        handlers_.on_subscribed_();
    }
    watch_for_close();
}

// A subscriber sends nothing after its subscription, so the socket becomes
// readable only when the connection ends.
void subscriber_session::watch_for_close()
{
    socket_.async_wait(tcp::socket::wait_read,
                       [self = shared_from_this()](const error_code&)
                       {
                           self->end();
                       });
}

void subscriber_session::miss_update()
{
    is_up_to_date_ = false;
    missed_update_ = true;
    if (monotonic_now() - send_began_at_ > max_send_time)
    {
        end();
    }
}

// Sends what the subscriber lacks, or a status report while this watcher lacks
// it too.
void subscriber_session::send_missing()
{
    missed_update_ = false;
    is_up_to_date_ = composer_.has_complete_state();
    if (!is_up_to_date_)
    {
        write(composer_.status_report());
        return;
    }
    auto frame = composer_.first_update_since(*position_);
    position_ = composer_.position_after_update(*position_);
    write(std::move(frame));
}

void subscriber_session::write(shared_frame frame)
{
    frame_ = std::move(frame);
    send_began_at_ = monotonic_now();
    asio::async_write(
        socket_,
        asio::buffer(*frame_),
        [self = shared_from_this()](const error_code& error, std::size_t)
        {
            self->on_written(error);
        });
}

void subscriber_session::on_written(const error_code& error)
{
    if (error || !socket_.is_open())
    {
        end();
        return;
    }
    frame_ = nullptr;
    if (missed_update_)
    {
        send_missing();
    }
}

// The publisher closes all connections when it is destroyed, whose handlers
// then run without it.
void subscriber_session::end()
{
    if (socket_.is_open())
    {
        close();
        handlers_.on_end_(shared_from_this());
    }
}

} // namespace anvilturn
