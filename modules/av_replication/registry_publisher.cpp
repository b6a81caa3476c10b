#include <av_replication/registry_publisher.hpp>

#include <av_core/error.hpp>
#include <av_core/log_event.hpp>
#include <av_core/monotonic_clock.hpp>
#include <av_net/duration.hpp>
#include <av_net/endpoint.hpp>
#include <av_registry/watcher_choice.hpp>
#include <av_replication/replication_timing.hpp>
#include <av_replication/update_codec.hpp>
#include <av_replication/update_composer.hpp>

#include <absl/algorithm/container.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <optional>
#include <set>
#include <sstream>
#include <utility>
#include <vector>

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
constexpr std::size_t max_subscribers = 1024;
constexpr std::size_t max_subscription_bytes = 4096;
} // namespace

class registry_publisher::implementation
    : public std::enable_shared_from_this<implementation>
{
public:
    implementation(asio::io_context& context,
                   const std::string& failure_domain,
                   bool appoints_standbys,
                   std::function<milliseconds()> store_response_age)
        : context_(context)
        , appoints_standbys_(appoints_standbys)
        , composer_(failure_domain, std::move(store_response_age))
        , acceptor_(context)
        , timer_(context)
    {
        if (appoints_standbys_)
        {
            composer_.set_standbys({});
        }
    }

    absl::Status start(const std::string& address)
    {
        const auto parsed = parse_endpoint(address);
        error_code error;
        if (!parsed)
        {
            return make_error(error_kind::settings_invalid,
                              "peers: " + address +
                                  " is not an IP address and port");
        }
        acceptor_.open(parsed->protocol(), error);
        if (!error)
        {
            acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
        }
        if (!error)
        {
            acceptor_.bind(*parsed, error);
        }
        if (!error)
        {
            acceptor_.listen(asio::socket_base::max_listen_connections, error);
        }
        if (error)
        {
            return make_error(error_kind::settings_invalid,
                              "can't listen on " + address + ": " +
                                  error.message());
        }
        accept();
        schedule_heartbeat();
        return absl::OkStatus();
    }

    void stop()
    {
        error_code ignored;
        acceptor_.close(ignored);
        timer_.cancel();
        const auto sessions = std::exchange(sessions_, {});
        for (const auto& session : sessions)
        {
            session->close();
        }
    }

    void
    publish_targets(const std::map<std::string, registered_target>& targets,
                    store_revision revision)
    {
        const auto before = composer_.position();
        composer_.set_targets(targets, revision);
        if (composer_.position().sequence_ != before.sequence_)
        {
            notify(before);
        }
    }

    void publish_release(std::shared_ptr<const release> value)
    {
        const auto before = composer_.position();
        composer_.set_release(std::move(value));
        notify(before);
    }

    void set_relayed_response_age(std::function<milliseconds()> age)
    {
        composer_.set_relayed_response_age(std::move(age));
    }

    void require_evacuations()
    {
        composer_.require_evacuations();
    }

    void publish_evacuations(std::set<std::string> domains)
    {
        composer_.set_evacuations(std::move(domains));
        name_to_subscribers();
    }

    std::size_t subscribers() const
    {
        return sessions_.size();
    }

    std::string address() const
    {
        std::ostringstream text;
        text << acceptor_.local_endpoint();
        return text.str();
    }

private:
    // One subscriber.
    class session : public std::enable_shared_from_this<session>
    {
    public:
        session(implementation& owner, tcp::socket socket)
            : owner_(owner)
            , socket_(std::move(socket))
        {
        }

        void start()
        {
            error_code ignored;
            socket_.set_option(tcp::no_delay(true), ignored);
            socket_.set_option(
                asio::socket_base::send_buffer_size(send_buffer_bytes),
                ignored);
            asio::async_read(socket_,
                             asio::buffer(header_),
                             [self = shared_from_this()](
                                 const error_code& error, std::size_t)
                             {
                                 self->on_header(error);
                             });
        }

        // Sends the update, which follows the position that all subscribers
        // have reached. A new subscriber instead gets all that it lacks once
        // this watcher has the complete state, and until then status reports.
        // While an earlier message is being sent, the update is left out and
        // its contents follow in a new message: one that waits in a queue would
        // be old when it arrives.
        void notify(const shared_frame& update_frame)
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
                position_ = owner_.composer_.position_after_update(*position_);
                write(update_frame);
                return;
            }
            send_missing();
        }

        void close()
        {
            error_code ignored;
            socket_.close(ignored);
        }

        // Returns where the subscriber accepts subscribers itself; empty if it
        // accepts none, or until its subscription has arrived.
        std::string peer_address() const
        {
            return position_ ? position_->peer_address_ : std::string();
        }

    private:
        void on_header(const error_code& error)
        {
            const auto length = frame_length({header_.data(), header_.size()});
            if (error || length > max_subscription_bytes)
            {
                owner_.disconnect(shared_from_this());
                return;
            }
            body_.resize(length);
            asio::async_read(socket_,
                             asio::buffer(body_),
                             [self = shared_from_this()](
                                 const error_code& failure, std::size_t)
                             {
                                 self->on_body(failure);
                             });
        }

        void on_body(const error_code& error)
        {
            const auto position = read_subscription(body_);
            if (error || !position.ok())
            {
                owner_.disconnect(shared_from_this());
                return;
            }
            if (position->status_query_only_)
            {
                write(owner_.composer_.status_report());
            }
            else
            {
                position_ = *position;
                notify(nullptr);
                owner_.appoint_missing_standbys();
            }
            watch_for_close();
        }

        // A subscriber sends nothing after its subscription, so the socket
        // becomes readable only when the connection ends.
        void watch_for_close()
        {
            socket_.async_wait(tcp::socket::wait_read,
                               [self = shared_from_this()](const error_code&)
                               {
                                   self->owner_.disconnect(self);
                               });
        }

        void miss_update()
        {
            is_up_to_date_ = false;
            missed_update_ = true;
            if (monotonic_now() - send_began_at_ > max_send_time)
            {
                owner_.disconnect(shared_from_this());
            }
        }

        // Sends what the subscriber lacks, or a status report while this
        // watcher lacks it too.
        void send_missing()
        {
            missed_update_ = false;
            is_up_to_date_ = owner_.composer_.has_complete_state();
            if (!is_up_to_date_)
            {
                write(owner_.composer_.status_report());
                return;
            }
            auto frame = owner_.composer_.first_update_since(*position_);
            position_ = owner_.composer_.position_after_update(*position_);
            write(std::move(frame));
        }

        void write(shared_frame frame)
        {
            frame_ = std::move(frame);
            send_began_at_ = monotonic_now();
            asio::async_write(socket_,
                              asio::buffer(*frame_),
                              [self = shared_from_this()](
                                  const error_code& error, std::size_t)
                              {
                                  self->on_written(error);
                              });
        }

        void on_written(const error_code& error)
        {
            if (error)
            {
                owner_.disconnect(shared_from_this());
                return;
            }
            frame_ = nullptr;
            if (missed_update_)
            {
                send_missing();
            }
        }

        implementation& owner_;
        tcp::socket socket_;
        std::array<char, frame_header_bytes> header_{};
        std::string body_;
        // The message that is being sent; null if none is.
        shared_frame frame_;
        milliseconds send_began_at_;
        // Whether an update was left out while it was being sent.
        bool missed_update_ = false;
        // The position that the messages sent so far lead to, at first the one
        // that the subscriber has requested changes from; empty until its
        // subscription has arrived, and for a status query.
        std::optional<replication_position> position_;
        // Whether the subscriber has been sent the complete state, so that the
        // updates that are sent to all subscribers apply to its state.
        bool is_up_to_date_ = false;
    };

    void accept()
    {
        acceptor_.async_accept(
            [weak = weak_from_this()](const error_code& error,
                                      tcp::socket socket)
            {
                const auto self = weak.lock();
                if (!self || !self->acceptor_.is_open())
                {
                    return;
                }
                self->accept();
                if (!error && self->sessions_.size() < max_subscribers)
                {
                    const auto added =
                        std::make_shared<session>(*self, std::move(socket));
                    self->sessions_.insert(added);
                    added->start();
                }
            });
    }

    void disconnect(const std::shared_ptr<session>& value)
    {
        value->close();
        const bool was_standby =
            absl::c_linear_search(standbys_, value->peer_address());
        if (sessions_.erase(value) != 0 && was_standby)
        {
            appoint_standbys();
        }
    }

    void appoint_missing_standbys()
    {
        if (appoints_standbys_ && standbys_.size() < max_standbys)
        {
            appoint_standbys();
        }
    }

    // Appoints standbys in place of those that no longer subscribe, and names
    // them to all subscribers.
    void appoint_standbys()
    {
        std::vector<std::string> subscribers;
        for (const auto& session : sessions_)
        {
            if (auto address = session->peer_address(); !address.empty())
            {
                subscribers.push_back(std::move(address));
            }
        }
        auto standbys = choose_standbys(standbys_, subscribers);
        if (standbys != standbys_)
        {
            standbys_ = std::move(standbys);
            composer_.set_standbys(standbys_);
            name_to_subscribers();
        }
    }

    // Sends what first messages name, the standbys and the evacuations, to all
    // subscribers.
    void name_to_subscribers()
    {
        if (!sessions_.empty())
        {
            broadcast(composer_.first_update_since(composer_.position()));
        }
    }

    // Sends what follows the position to all subscribers. One update serves
    // them all, since each has reached the same position after its first one.
    void notify(const replication_position& since)
    {
        if (!sessions_.empty())
        {
            broadcast(composer_.update_since(since));
        }
    }

    void broadcast(const shared_frame& frame)
    {
        const auto sessions = sessions_;
        for (const auto& session : sessions)
        {
            session->notify(frame);
        }
    }

    void schedule_heartbeat()
    {
        timer_.expires_after(to_duration(replication_heartbeat_interval));
        timer_.async_wait(
            [weak = weak_from_this()](const error_code& error)
            {
                const auto self = weak.lock();
                if (!error && self)
                {
                    self->schedule_heartbeat();
                    self->notify(self->composer_.position());
                }
            });
    }

    asio::io_context& context_;
    const bool appoints_standbys_;
    std::vector<std::string> standbys_;
    update_composer composer_;
    tcp::acceptor acceptor_;
    asio::steady_timer timer_;
    std::set<std::shared_ptr<session>> sessions_;
};

registry_publisher::registry_publisher(
    asio::io_context& context,
    const std::string& failure_domain,
    bool appoints_standbys,
    std::function<milliseconds()> store_response_age)
    : implementation_(
          std::make_shared<implementation>(context,
                                           failure_domain,
                                           appoints_standbys,
                                           std::move(store_response_age)))
{
}

registry_publisher::~registry_publisher()
{
    implementation_->stop();
}

absl::Status registry_publisher::start(const std::string& address)
{
    return implementation_->start(address);
}

void registry_publisher::publish_targets(
    const std::map<std::string, registered_target>& targets,
    store_revision revision)
{
    implementation_->publish_targets(targets, revision);
}

void registry_publisher::publish_release(std::shared_ptr<const release> value)
{
    implementation_->publish_release(std::move(value));
}

void registry_publisher::set_relayed_response_age(
    std::function<milliseconds()> age)
{
    implementation_->set_relayed_response_age(std::move(age));
}

void registry_publisher::require_evacuations()
{
    implementation_->require_evacuations();
}

void registry_publisher::publish_evacuations(std::set<std::string> domains)
{
    implementation_->publish_evacuations(std::move(domains));
}

std::size_t registry_publisher::subscribers() const
{
    return implementation_->subscribers();
}

std::string registry_publisher::address() const
{
    return implementation_->address();
}

} // namespace anvilturn
