#include <av_replication/registry_publisher.hpp>

#include <av_net/duration.hpp>
#include <av_net/endpoint.hpp>
#include <av_registry/watcher_choice.hpp>
#include <av_replication/replication_timing.hpp>
#include <av_replication/subscriber_session.hpp>
#include <av_replication/update_composer.hpp>

#include <absl/algorithm/container.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

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

constexpr std::size_t max_subscribers = 1024;

} // namespace

class registry_publisher::implementation
    : public std::enable_shared_from_this<implementation>
{
public:
    implementation(asio::io_context& context,
                   const std::string& failure_domain,
                   bool appoints_standbys,
                   std::function<milliseconds()> contents_age)
        : context_(context)
        , appoints_standbys_(appoints_standbys)
        , composer_(failure_domain, std::move(contents_age))
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
        if (auto status = listen_at(acceptor_, "peers", address); !status.ok())
        {
            return status;
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

    void set_relayed_contents_age(std::function<milliseconds()> age)
    {
        composer_.set_relayed_contents_age(std::move(age));
    }

    void set_answer_age(std::function<milliseconds()> age)
    {
        composer_.set_answer_age(std::move(age));
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
                    self->add_session(std::move(socket));
                }
            });
    }

    // The sessions are closed before this is destroyed, and call no handlers
    // after that.
    void add_session(tcp::socket socket)
    {
        subscriber_session::handlers handlers;
        handlers.on_subscribed_ = [this]
        {
            appoint_missing_standbys();
        };
        handlers.on_end_ = [this](const auto& session)
        {
            remove_session(session);
        };
        const auto added = std::make_shared<subscriber_session>(
            std::move(socket), composer_, std::move(handlers));
        sessions_.insert(added);
        added->start();
    }

    void remove_session(const std::shared_ptr<subscriber_session>& session)
    {
        const bool was_standby =
            absl::c_linear_search(standbys_, session->peer_address());
        if (sessions_.erase(session) == 0 || !was_standby)
        {
            return;
        }
        // The session may have ended during a broadcast. The message that names
        // the standbys must not overtake that one at other subscribers, which
        // would miss its changes.
        asio::post(context_,
                   [weak = weak_from_this()]
                   {
                       if (const auto self = weak.lock())
                       {
                           self->appoint_standbys();
                       }
                   });
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
    std::set<std::shared_ptr<subscriber_session>> sessions_;
};

registry_publisher::registry_publisher(
    asio::io_context& context,
    const std::string& failure_domain,
    bool appoints_standbys,
    std::function<milliseconds()> contents_age)
    : implementation_(std::make_shared<implementation>(
          context, failure_domain, appoints_standbys, std::move(contents_age)))
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

void registry_publisher::set_relayed_contents_age(
    std::function<milliseconds()> age)
{
    implementation_->set_relayed_contents_age(std::move(age));
}

void registry_publisher::set_answer_age(std::function<milliseconds()> age)
{
    implementation_->set_answer_age(std::move(age));
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
