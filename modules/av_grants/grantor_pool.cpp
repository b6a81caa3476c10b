#include <av_grants/grantor_pool.hpp>

#include <av_core/log_event.hpp>
#include <av_core/monotonic_clock.hpp>
#include <av_net/duration.hpp>
#include <av_net/endpoint.hpp>

#include <algorithm>
#include <utility>

namespace anvilturn
{
namespace
{

namespace asio = boost::asio;
using boost::system::error_code;

// A connection that was idle for longer is not used again: the grantor closes
// it after 60 s, and a query sent at that moment would be lost.
constexpr milliseconds max_idle_time{30000.0};

permit_query to_message(const open_query& query, std::uint64_t id)
{
    permit_query message;
    message.id_ = id;
    message.requests_.reserve(query.requests_.size());
    for (const auto& request : query.requests_)
    {
        message.requests_.push_back(
            {request.limit_->key_, request.wanted_, request.may_use_reserve_});
    }
    return message;
}

} // namespace

grantor_pool::grantor_pool(asio::io_context& context,
                           const std::vector<std::string>& addresses,
                           std::shared_ptr<permit_counters> counters,
                           grantor_pool_handlers handlers)
    : context_(context)
    , counters_(std::move(counters))
    , handlers_(std::move(handlers))
    , timer_(context)
{
    for (const auto& address : addresses)
    {
        member grantor;
        grantor.address_ = address;
        grantor.endpoint_ = parse_endpoint(address);
        members_.push_back(std::move(grantor));
    }
}

bool grantor_pool::is_skipped(std::size_t grantor, milliseconds now) const
{
    const auto& asked = members_[grantor];
    return !asked.endpoint_ ||
           (asked.is_unreachable_ &&
            (now < asked.retry_at_ || has_pending_query(asked)));
}

bool grantor_pool::has_unreachable() const
{
    return std::any_of(members_.begin(),
                       members_.end(),
                       [](const member& grantor)
                       {
                           return grantor.is_unreachable_;
                       });
}

void grantor_pool::send(std::size_t grantor, open_query query)
{
    const auto now = query.sent_at_;
    const auto id = ++last_query_id_;
    const auto message = to_message(query, id);
    connect_if_needed(grantor, now);
    auto& asked = members_[grantor];
    asked.used_at_ = now;
    asked.queries_.emplace(id, std::move(query));
    asked.connection_->send(message);
    ++counters_->queries_;
    schedule_timeout(now);
}

void grantor_pool::stop()
{
    is_stopped_ = true;
    timer_.cancel();
    for (auto& grantor : members_)
    {
        if (grantor.connection_)
        {
            grantor.connection_->close();
        }
        if (grantor.is_unreachable_)
        {
            --counters_->unreachable_grantors_;
        }
        grantor.queries_.clear();
    }
}

// Returns whether there is a query that may still be replied to in time.
bool grantor_pool::has_pending_query(const member& grantor)
{
    return std::any_of(grantor.queries_.begin(),
                       grantor.queries_.end(),
                       [](const auto& entry)
                       {
                           return !entry.second.timed_out_;
                       });
}

void grantor_pool::connect_if_needed(std::size_t index, milliseconds now)
{
    auto& grantor = members_[index];
    // A connection to a grantor that did not respond may lead to a machine that
    // is gone.
    if (grantor.connection_ && !has_pending_query(grantor) &&
        (grantor.is_unreachable_ || now - grantor.used_at_ > max_idle_time))
    {
        grantor.connection_->close();
        grantor.connection_ = nullptr;
    }
    if (grantor.connection_)
    {
        return;
    }
    grantor.queries_.clear();
    grantor_connection::handlers handlers;
    handlers.on_reply_ =
        [weak = weak_from_this(), index](const permit_reply& reply)
    {
        const auto self = weak.lock();
        if (self && !self->is_stopped_)
        {
            self->on_reply(index, reply);
        }
    };
    handlers.on_end_ =
        [weak = weak_from_this(), index](const std::string& reason)
    {
        const auto self = weak.lock();
        if (self && !self->is_stopped_)
        {
            self->on_end(index, reason);
        }
    };
    grantor.connection_ =
        std::make_shared<grantor_connection>(context_, std::move(handlers));
    grantor.connection_->open(*grantor.endpoint_);
}

void grantor_pool::on_reply(std::size_t index, const permit_reply& reply)
{
    auto& grantor = members_[index];
    const auto found = grantor.queries_.find(reply.id_);
    if (found == grantor.queries_.end() ||
        found->second.requests_.size() != reply.entries_.size())
    {
        grantor.connection_->close();
        on_end(index, "the reply does not match a query");
        return;
    }
    const auto query = std::move(found->second);
    grantor.queries_.erase(found);
    if (std::exchange(grantor.is_unreachable_, false))
    {
        --counters_->unreachable_grantors_;
        log_event(log_level::info, "grantor_reachable")
            .field("grantor", grantor.address_)
            .write();
    }
    handlers_.on_reply_(index, query, reply);
}

void grantor_pool::on_end(std::size_t index, const std::string& reason)
{
    const auto now = monotonic_now();
    auto& grantor = members_[index];
    grantor.connection_ = nullptr;
    // A connection that ends without a query may be one that was idle.
    const auto queries = std::exchange(grantor.queries_, {});
    for (const auto& query : queries)
    {
        if (!query.second.timed_out_)
        {
            fail(grantor, query.second, reason, now);
        }
    }
}

void grantor_pool::fail(member& grantor,
                        const open_query& query,
                        const std::string& reason,
                        milliseconds now)
{
    ++counters_->failed_queries_;
    grantor.retry_at_ = now + unreachable_retry_interval;
    if (!std::exchange(grantor.is_unreachable_, true))
    {
        ++counters_->unreachable_grantors_;
        log_event(log_level::warning, "grantor_unreachable")
            .field("grantor", grantor.address_)
            .field("reason", reason)
            .write();
    }
    handlers_.on_failure_(query);
}

void grantor_pool::schedule_timeout(milliseconds now)
{
    if (is_stopped_)
    {
        return;
    }
    std::optional<milliseconds> next;
    for (const auto& grantor : members_)
    {
        for (const auto& [id, query] : grantor.queries_)
        {
            if (!query.timed_out_)
            {
                const auto due_at = query.sent_at_ + query.timeout_;
                next = std::min(next.value_or(due_at), due_at);
            }
        }
    }
    if (!next || (timer_due_at_ && *timer_due_at_ <= *next))
    {
        return;
    }
    timer_due_at_ = next;
    timer_.expires_after(to_duration(*next - now));
    timer_.async_wait(
        [weak = weak_from_this()](const error_code& error)
        {
            const auto self = weak.lock();
            if (self && !error && !self->is_stopped_)
            {
                self->timer_due_at_.reset();
                self->on_timer();
            }
        });
}

// The handlers don't change the queries of this pool, see
// grantor_pool_handlers.
void grantor_pool::on_timer()
{
    const auto now = monotonic_now();
    for (auto& grantor : members_)
    {
        for (auto& [id, query] : grantor.queries_)
        {
            if (!query.timed_out_ && query.sent_at_ + query.timeout_ <= now)
            {
                query.timed_out_ = true;
                fail(grantor, query, "no response in time", now);
            }
        }
    }
    schedule_timeout(now);
}

} // namespace anvilturn
