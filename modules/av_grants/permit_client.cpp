#include <av_grants/permit_client.hpp>

#include <av_core/monotonic_clock.hpp>
#include <av_grants/client_limit_table.hpp>
#include <av_grants/grantor_order.hpp>
#include <av_grants/grantor_pool.hpp>
#include <av_grants/permit_client_state.hpp>
#include <av_grants/permit_round.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace anvilturn
{
namespace
{

namespace asio = boost::asio;

// When to try again if there is no room for another limit.
constexpr milliseconds overload_retry_time{1000.0};

} // namespace

class permit_client::implementation
    : public std::enable_shared_from_this<implementation>
{
public:
    implementation(asio::io_context& context, permit_client_options options)
        : context_(context)
        , options_(std::move(options))
        , counters_(options_.counters_ ? options_.counters_
                                       : std::make_shared<permit_counters>())
        , unsent_(options_.grantors_.size())
    {
    }

    void start()
    {
        grantor_pool_handlers handlers;
        handlers.on_reply_ = [this](std::size_t grantor,
                                    const open_query& query,
                                    const permit_reply& reply)
        {
            on_reply(grantor, query, reply);
        };
        handlers.on_failure_ = [this](const open_query& query)
        {
            on_failure(query);
        };
        pool_ = std::make_shared<grantor_pool>(
            context_, options_.grantors_, counters_, std::move(handlers));
    }

    void stop()
    {
        is_stopped_ = true;
        pool_->stop();
        limits_.clear();
        report_size();
    }

    void acquire(const limit_key& key, permit_callback done)
    {
        const auto self = shared_from_this();
        const auto now = monotonic_now();
        const auto limit = find_or_add(key, now);
        if (!limit)
        {
            permit_answer answer;
            answer.retry_after_ = overload_retry_time;
            due_.push_back({std::move(done), answer});
            post_due();
            return;
        }
        if (const auto expires_at = take_permit(limit->stock_, now))
        {
            request_more(limit, now);
            call({std::move(done), granted_until(*expires_at)});
        }
        else
        {
            limit->waiting_.push_back(std::move(done));
            request_more(limit, now);
        }
        // Not from here: the callbacks of other calls would run in the middle
        // of what this caller does.
        post_due();
    }

    void give_back(const limit_key& key, milliseconds expires_at)
    {
        const auto found = limits_.find(key);
        const auto now = monotonic_now();
        if (!found || expires_at <= now)
        {
            return;
        }
        auto& limit = *found;
        if (limit.waiting_.empty())
        {
            give_back_permit(limit.stock_, expires_at, now);
            return;
        }
        // The caller may be in the middle of ending a call, so the next one is
        // not called from here.
        due_.push_back(
            {std::move(limit.waiting_.front()), granted_until(expires_at)});
        limit.waiting_.pop_front();
        post_due();
    }

private:
    // Returns null if there is no room for another limit, or if its name does
    // not fit a query.
    std::shared_ptr<client_limit> find_or_add(const limit_key& key,
                                              milliseconds now)
    {
        if (auto found = limits_.find(key))
        {
            return found;
        }
        if (key.name_.size() > max_limit_name_bytes)
        {
            return nullptr;
        }
        auto limit = std::make_shared<client_limit>();
        limit->key_ = key;
        limit->order_ =
            grantor_order(options_.vm_name_, key, options_.grantors_);
        limit->refusals_.resize(options_.grantors_.size());
        const bool is_added = limits_.add(limit, now);
        report_size();
        return is_added ? limit : nullptr;
    }

    // The counters are shared with other clients.
    void report_size()
    {
        const auto size = static_cast<std::int64_t>(limits_.size());
        counters_->keys_ += size - std::exchange(reported_size_, size);
    }

    // Begins a round of requests if calls wait for a permit, or will soon.
    void request_more(const std::shared_ptr<client_limit>& limit,
                      milliseconds now)
    {
        if (limit->is_asking_ ||
            (limit->waiting_.empty() &&
             (limit->stock_.refused_until_ > now ||
              permits_to_request(limit->stock_, 0, now) < 1)))
        {
            return;
        }
        begin_round(*limit);
        ask_next(limit, now);
    }

    // Asks the next grantor, or ends the round if all were asked.
    void ask_next(const std::shared_ptr<client_limit>& limit, milliseconds now)
    {
        while (limit->position_ < limit->order_.size())
        {
            const auto index = limit->order_[limit->position_++];
            const auto& refusal = limit->refusals_[index];
            if (pool_->is_skipped(index, now))
            {
                ++limit->missed_grantors_;
            }
            else if (refusal.until_ > now && !limit->is_reserve_round_)
            {
                record_refusal(*limit, refusal.retry_at_);
            }
            else
            {
                unsent_[index].push_back(limit);
                schedule_send();
                return;
            }
        }
        if (!has_reserve(*limit))
        {
            answer_waiting(*limit, end_round(*limit, now));
            return;
        }
        begin_reserve_round(*limit);
        ask_next(limit, now);
    }

    void answer_waiting(client_limit& limit, const permit_answer& answer)
    {
        for (auto& done : limit.waiting_)
        {
            due_.push_back({std::move(done), answer});
        }
        limit.waiting_.clear();
    }

    // Requests made in the same turn of the event loop go into one query for
    // each grantor.
    void schedule_send()
    {
        if (std::exchange(is_send_scheduled_, true))
        {
            return;
        }
        asio::post(context_,
                   [weak = weak_from_this()]
                   {
                       const auto self = weak.lock();
                       if (self && !self->is_stopped_)
                       {
                           self->is_send_scheduled_ = false;
                           self->send_unsent();
                           self->call_due();
                       }
                   });
    }

    void send_unsent()
    {
        const auto now = monotonic_now();
        for (std::size_t index = 0; index < unsent_.size(); ++index)
        {
            auto limits = std::exchange(unsent_[index], {});
            if (limits.empty())
            {
                continue;
            }
            // It may have become unreachable in the same turn.
            if (pool_->is_skipped(index, now))
            {
                pass_on(limits, now);
                continue;
            }
            const auto last = std::stable_partition(
                limits.begin(),
                limits.end(),
                [this, now](const auto& limit)
                {
                    return has_next_grantor(*limit, skipped(now), now);
                });
            send_queries(index, {limits.begin(), last}, response_timeout, now);
            send_queries(
                index, {last, limits.end()}, last_response_timeout, now);
        }
    }

    // Returns by index which grantors are not asked now.
    std::vector<bool> skipped(milliseconds now) const
    {
        std::vector<bool> result(options_.grantors_.size());
        for (std::size_t index = 0; index < result.size(); ++index)
        {
            result[index] = pool_->is_skipped(index, now);
        }
        return result;
    }

    // Asks the grantors that follow one which did not respond.
    void pass_on(const std::vector<std::shared_ptr<client_limit>>& limits,
                 milliseconds now)
    {
        for (const auto& limit : limits)
        {
            ++limit->missed_grantors_;
            ask_next(limit, now);
        }
    }

    void send_queries(std::size_t index,
                      const std::vector<std::shared_ptr<client_limit>>& limits,
                      milliseconds timeout,
                      milliseconds now)
    {
        for (std::size_t first = 0; first < limits.size();
             first += max_requests_per_query)
        {
            const auto last =
                std::min(first + max_requests_per_query, limits.size());
            send_query(index,
                       {limits.begin() + static_cast<std::ptrdiff_t>(first),
                        limits.begin() + static_cast<std::ptrdiff_t>(last)},
                       timeout,
                       now);
        }
    }

    void send_query(std::size_t index,
                    const std::vector<std::shared_ptr<client_limit>>& limits,
                    milliseconds timeout,
                    milliseconds now)
    {
        open_query query;
        query.sent_at_ = now;
        query.timeout_ = timeout;
        for (const auto& limit : limits)
        {
            const int waiting = static_cast<int>(limit->waiting_.size());
            const int wanted = std::max(
                {permits_to_request(limit->stock_, waiting, now), waiting, 1});
            query.requests_.push_back(
                {limit,
                 std::min(wanted, max_permits_per_request),
                 limit->is_reserve_round_ || limit->missed_grantors_ > 0 ||
                     pool_->has_unreachable()});
        }
        pool_->send(index, std::move(query));
    }

    void on_reply(std::size_t index,
                  const open_query& query,
                  const permit_reply& reply)
    {
        const auto now = monotonic_now();
        for (std::size_t i = 0; i < query.requests_.size(); ++i)
        {
            apply(index, query, query.requests_[i], reply.entries_[i], now);
        }
        post_due();
    }

    void on_failure(const open_query& query)
    {
        const auto now = monotonic_now();
        for (const auto& request : query.requests_)
        {
            ++request.limit_->missed_grantors_;
            ask_next(request.limit_, now);
        }
        post_due();
    }

    void apply(std::size_t index,
               const open_query& query,
               const open_query::request& request,
               const permit_reply_entry& entry,
               milliseconds now)
    {
        const auto& limit = request.limit_;
        const auto& grant = entry.grant_;
        const bool has_permits = entry.known_ && grant.permits_ > 0;
        const bool has_expired =
            has_permits && now >= query.sent_at_ + grant.lease_;
        if (has_permits && !has_expired)
        {
            add_grant(*limit,
                      std::min(grant.permits_, request.wanted_),
                      grant.lease_,
                      query.sent_at_,
                      now);
        }
        else if (entry.known_ && !has_permits)
        {
            auto& refusal = limit->refusals_[index];
            refusal.retry_at_ = now + grant.retry_after_;
            refusal.until_ =
                now + std::min(grant.retry_after_, max_refusal_time);
        }
        if (query.timed_out_)
        {
            return;
        }
        if (has_expired)
        {
            // The lease ended on the way. Counts as no response, since the
            // grantor said nothing about the limit and a repeated query would
            // be as late.
            ++limit->missed_grantors_;
            ask_next(limit, now);
            return;
        }
        if (entry.known_ && grant.permits_ >= request.wanted_)
        {
            // More calls may have come since the query was sent.
            limit->is_asking_ = false;
            request_more(limit, now);
            return;
        }
        if (has_permits && limit->waiting_.empty())
        {
            limit->is_asking_ = false;
            return;
        }
        if (entry.known_)
        {
            record_refusal(*limit,
                           now + std::max(grant.retry_after_,
                                          has_permits ? max_refusal_time
                                                      : milliseconds(0.0)));
            limit->refused_without_reserve_ =
                limit->refused_without_reserve_ || !request.may_use_reserve_;
        }
        ask_next(limit, now);
    }

    // Gives the permits to the calls that wait for them. These were counted as
    // use of permits when they came, so the permits don't pass through the
    // stock.
    void add_grant(client_limit& limit,
                   int permits,
                   milliseconds lease,
                   milliseconds sent_at,
                   milliseconds now)
    {
        while (permits > 0 && !limit.waiting_.empty())
        {
            due_.push_back({std::move(limit.waiting_.front()),
                            granted_until(sent_at + lease)});
            limit.waiting_.pop_front();
            --permits;
        }
        limit.stock_.lease_ = lease;
        limit.stock_.refused_until_ = milliseconds(0.0);
        if (permits > 0)
        {
            add_permits(limit.stock_, permits, lease, sent_at, now);
        }
    }

    void call(const due_answer& due)
    {
        count_answer(*counters_, due.answer_.result_);
        due.done_(due.answer_);
    }

    // Calls back from the event loop.
    void post_due()
    {
        if (due_.empty())
        {
            return;
        }
        asio::post(context_,
                   [weak = weak_from_this()]
                   {
                       if (const auto self = weak.lock())
                       {
                           self->call_due();
                       }
                   });
    }

    // Calls back the calls that have an answer, after the state is consistent:
    // the callbacks may use or destroy the client.
    void call_due()
    {
        const auto self = shared_from_this();
        while (!is_stopped_ && !due_.empty())
        {
            const auto due = std::move(due_.front());
            due_.pop_front();
            call(due);
        }
    }

    asio::io_context& context_;
    const permit_client_options options_;
    const std::shared_ptr<permit_counters> counters_;
    std::shared_ptr<grantor_pool> pool_;
    // By index of the grantor: limits to ask it for in the next query.
    std::vector<std::vector<std::shared_ptr<client_limit>>> unsent_;
    bool is_send_scheduled_ = false;
    bool is_stopped_ = false;
    client_limit_table limits_;
    std::int64_t reported_size_ = 0;
    // Callbacks that are to be called.
    std::deque<due_answer> due_;
};

permit_client::permit_client(asio::io_context& context,
                             permit_client_options options)
    : implementation_(
          std::make_shared<implementation>(context, std::move(options)))
{
    implementation_->start();
}

permit_client::~permit_client()
{
    implementation_->stop();
}

void permit_client::acquire(const limit_key& key,
                            std::function<void(permit_answer)> done)
{
    implementation_->acquire(key, std::move(done));
}

void permit_client::give_back(const limit_key& key, milliseconds expires_at)
{
    implementation_->give_back(key, expires_at);
}

} // namespace anvilturn
