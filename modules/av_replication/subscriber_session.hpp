// Private to av_replication.

#ifndef AV_REPLICATION_SUBSCRIBER_SESSION_HPP
#define AV_REPLICATION_SUBSCRIBER_SESSION_HPP

#include <av_core/milliseconds.hpp>
#include <av_net/frame_reader.hpp>
#include <av_replication/registry_update.hpp>
#include <av_replication/update_composer.hpp>

#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace anvilturn
{

// The publisher's side of the connection to one subscriber: reads its
// subscription and sends what it lacks. Runs on the thread of the io_context
// only.
class subscriber_session
    : public std::enable_shared_from_this<subscriber_session>
{
public:
    struct handlers
    {
        // The subscription has arrived; not called for a status query.
        std::function<void()> on_subscribed_;
        // The connection has ended; not called after close().
        std::function<void(const std::shared_ptr<subscriber_session>& session)>
            on_end_;
    };

    // The composer must outlive the connection, up to close().
    subscriber_session(boost::asio::ip::tcp::socket socket,
                       update_composer& composer,
                       handlers handlers);

    void start();

    // Sends the update, which follows the position that all subscribers have
    // reached. A new subscriber instead gets all that it lacks once this
    // watcher has the complete state, and until then status reports. While an
    // earlier message is being sent, the update is left out and its contents
    // follow in a new message: one that waits in a queue would be old when it
    // arrives.
    void notify(const shared_frame& update_frame);

    void close();

    // Returns where the subscriber accepts subscribers itself; empty if it
    // accepts none, or until its subscription has arrived.
    std::string peer_address() const;

private:
    void on_frame(const boost::system::error_code& error);
    void watch_for_close();
    void miss_update();
    void send_missing();
    void write(shared_frame frame);
    void on_written(const boost::system::error_code& error);
    void end();

    boost::asio::ip::tcp::socket socket_;
    update_composer& composer_;
    const handlers handlers_;
    frame_reader reader_;
    // The message that is being sent; null if none is.
    shared_frame frame_;
    milliseconds send_began_at_;
    // Whether an update was left out while it was being sent.
    bool missed_update_ = false;
    // The position that the messages sent so far lead to, at first the one that
    // the subscriber has requested changes from; empty until its subscription
    // has arrived, and for a status query.
    std::optional<replication_position> position_;
    // Whether the subscriber has been sent the complete state, so that the
    // updates that are sent to all subscribers apply to its state.
    bool is_up_to_date_ = false;
};

} // namespace anvilturn

#endif
