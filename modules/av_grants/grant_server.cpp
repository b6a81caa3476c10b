#include <av_grants/grant_server.hpp>

#include <av_core/monotonic_clock.hpp>
#include <av_grants/grant_codec.hpp>
#include <av_net/duration.hpp>
#include <av_net/endpoint.hpp>
#include <av_net/frame_reader.hpp>
#include <av_quota/permit_ledger.hpp>

#include <absl/container/flat_hash_set.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <sstream>
#include <utility>

namespace anvilturn
{
namespace
{

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

// Clients don't use a connection again that was idle for half of this time, so
// that they don't lose a query to a connection that ends here.
constexpr milliseconds max_idle_time{60000.0};
// A client that takes longer to send a message or to receive one is
// disconnected.
constexpr milliseconds max_transfer_time{2000.0};
// Bounds what a client that does not read its replies takes up.
constexpr int send_buffer_bytes = 64 * 1024;
// Delay at most with which overdue connections are closed, and with which
// connections are accepted again after a failure.
constexpr milliseconds sweep_interval{1000.0};

// Returns the time, or the longest one that a reply may have: a client refuses
// replies with longer ones, which low rates and many refused calls lead to.
milliseconds within_message(milliseconds time)
{
    return time < max_grant_time ? time : max_grant_time;
}

} // namespace

class grant_server::implementation
    : public std::enable_shared_from_this<implementation>
{
public:
    implementation(
        asio::io_context& context,
        grant_server_options options,
        std::function<std::optional<fleet_limit>(const limit_key&)> limit_of)
        : options_(std::move(options))
        , limit_of_(std::move(limit_of))
        , acceptor_(context)
        , timer_(context)
    {
    }

    absl::Status start()
    {
        if (auto status = listen_at(acceptor_, "grants", options_.address_);
            !status.ok())
        {
            return status;
        }
        ledger_.started_at_ = monotonic_now();
        accept();
        schedule_sweep();
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

    std::string address() const
    {
        error_code ignored;
        std::ostringstream text;
        text << acceptor_.local_endpoint(ignored);
        return text.str();
    }

    grant_server_statistics statistics() const
    {
        auto result = statistics_;
        result.connections_ = sessions_.size();
        result.keys_ = ledger_.buckets_.size();
        return result;
    }

private:
    // One connection of a client. It reads the next query after the reply to
    // the last one has been sent, so that a client that does not read its
    // replies takes up the memory of one.
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
            read_frame();
        }

        void close()
        {
            error_code ignored;
            socket_.close(ignored);
        }

        bool is_overdue(milliseconds now) const
        {
            return now > deadline_;
        }

    private:
        void read_frame()
        {
            deadline_ = monotonic_now() + max_idle_time;
            frame_handlers handlers;
            handlers.on_header_ = [self = shared_from_this()]
            {
                self->deadline_ = monotonic_now() + max_transfer_time;
            };
            handlers.on_frame_ =
                [self = shared_from_this()](const error_code& error)
            {
                self->on_frame(error);
            };
            reader_.read(std::move(handlers));
        }

        void on_frame(const error_code& error)
        {
            if (error)
            {
                disconnect();
                return;
            }
            const auto query = read_query(reader_.body());
            if (!query.ok())
            {
                disconnect();
                return;
            }
            reply_ = write_reply(owner_.reply_to(*query));
            asio::async_write(socket_,
                              asio::buffer(reply_),
                              [self = shared_from_this()](
                                  const error_code& failure, std::size_t)
                              {
                                  self->on_written(failure);
                              });
        }

        void on_written(const error_code& error)
        {
            if (error || !socket_.is_open())
            {
                disconnect();
                return;
            }
            read_frame();
        }

        // The owner closes all connections when it is destroyed, whose handlers
        // then run without it.
        void disconnect()
        {
            if (socket_.is_open())
            {
                close();
                owner_.sessions_.erase(shared_from_this());
            }
        }

        implementation& owner_;
        tcp::socket socket_;
        frame_reader reader_{socket_, max_grant_message_bytes};
        std::string reply_;
        // When the connection is closed unless something happens on it.
        milliseconds deadline_;
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
                // Without a free descriptor it fails at once, again and again;
                // the next sweep goes on.
                self->is_accepting_ = !error;
                if (error)
                {
                    return;
                }
                self->accept();
                if (self->sessions_.size() < self->options_.max_connections_)
                {
                    const auto added =
                        std::make_shared<session>(*self, std::move(socket));
                    self->sessions_.insert(added);
                    added->start();
                }
            });
    }

    permit_reply reply_to(const permit_query& query)
    {
        const auto now = monotonic_now();
        ++statistics_.queries_;
        permit_reply reply;
        reply.id_ = query.id_;
        reply.entries_.reserve(query.requests_.size());
        for (const auto& request : query.requests_)
        {
            reply.entries_.push_back(reply_to(request, now));
        }
        return reply;
    }

    permit_reply_entry reply_to(const permit_request& request, milliseconds now)
    {
        permit_reply_entry entry;
        const auto limit = limit_of_(request.key_);
        if (!limit)
        {
            ++statistics_.unknown_;
            return entry;
        }
        entry.known_ = true;
        entry.grant_ = take_permits(
            ledger_, share_of(*limit, options_.grantor_count_), request, now);
        entry.grant_.retry_after_ = within_message(entry.grant_.retry_after_);
        entry.grant_.lease_ = within_message(entry.grant_.lease_);
        if (entry.grant_.permits_ > 0)
        {
            statistics_.permits_ +=
                static_cast<std::uint64_t>(entry.grant_.permits_);
        }
        else
        {
            ++statistics_.refused_;
        }
        return entry;
    }

    void schedule_sweep()
    {
        timer_.expires_after(to_duration(sweep_interval));
        timer_.async_wait(
            [weak = weak_from_this()](const error_code& error)
            {
                const auto self = weak.lock();
                if (!error && self)
                {
                    self->schedule_sweep();
                    self->sweep();
                }
            });
    }

    // Closes connections on which too little happens, removes idle buckets, and
    // accepts connections again if that has failed.
    void sweep()
    {
        const auto now = monotonic_now();
        if (!std::exchange(is_accepting_, true))
        {
            accept();
        }
        remove_idle(ledger_, now);
        for (auto i = sessions_.begin(); i != sessions_.end();)
        {
            const auto current = i++;
            if ((*current)->is_overdue(now))
            {
                (*current)->close();
                sessions_.erase(current);
            }
        }
    }

    const grant_server_options options_;
    const std::function<std::optional<fleet_limit>(const limit_key&)> limit_of_;
    tcp::acceptor acceptor_;
    asio::steady_timer timer_;
    permit_ledger ledger_;
    grant_server_statistics statistics_;
    absl::flat_hash_set<std::shared_ptr<session>> sessions_;
    bool is_accepting_ = true;
};

grant_server::grant_server(
    asio::io_context& context,
    grant_server_options options,
    std::function<std::optional<fleet_limit>(const limit_key&)> limit_of)
    : implementation_(std::make_shared<implementation>(
          context, std::move(options), std::move(limit_of)))
{
}

grant_server::~grant_server()
{
    implementation_->stop();
}

absl::Status grant_server::start()
{
    return implementation_->start();
}

std::string grant_server::address() const
{
    return implementation_->address();
}

grant_server_statistics grant_server::statistics() const
{
    return implementation_->statistics();
}

} // namespace anvilturn
