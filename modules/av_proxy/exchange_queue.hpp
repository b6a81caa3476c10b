// Private to av_proxy.

#ifndef AV_PROXY_EXCHANGE_QUEUE_HPP
#define AV_PROXY_EXCHANGE_QUEUE_HPP

#include <av_core/milliseconds.hpp>
#include <av_proxy/caller_exchange.hpp>

#include <deque>
#include <memory>
#include <optional>
#include <vector>

namespace anvilturn
{

class caller_connection;
class worker;

// The exchanges of one caller's connection, in the order of the requests; there
// is always at least one. The last one reads the input, and the response of the
// first one is sent.
class exchange_queue
{
public:
    exchange_queue(worker& owner, caller_connection& connection, bool from_vm);

    caller_exchange& first();
    const caller_exchange& first() const;
    caller_exchange& last();
    const caller_exchange& last() const;
    bool is_first(const caller_exchange& exchange) const;
    bool is_last(const caller_exchange& exchange) const;

    // Returns whether nothing of a request has arrived.
    bool is_unused() const;

    // Returns whether the call of the exchange may begin now: if the exchange
    // is the first one, or if the call is idempotent.
    bool may_begin(const caller_exchange& exchange,
                   const request_head& head) const;

    // Returns the exchange that the next input belongs to; null if the input
    // can't be used yet. Of the responses that were sent in part, so many bytes
    // are left.
    caller_exchange* exchange_to_read(std::size_t unsent_bytes);

    // Ends the first exchange and continues with the next one.
    void end_first();

    // Ends the calls of all exchanges: the caller has left, or takes requests
    // without a response for unread.
    void disconnect();

    // Returns when the time limit of a call is next due; nothing if no call is
    // active.
    std::optional<milliseconds> due() const;
    // See proxied_call::limit_deadline.
    void limit_deadlines(milliseconds latest);

    // Reports its time limit to one call that is due. Returns whether there was
    // one.
    bool end_overdue_call(milliseconds now);

private:
    bool may_add(std::size_t unsent_bytes) const;
    void add();

    worker& worker_;
    caller_connection& connection_;
    const bool from_vm_;
    std::deque<std::unique_ptr<caller_exchange>> exchanges_;
    // Exchanges that ended. Their calls may still be referred to.
    std::vector<std::unique_ptr<caller_exchange>> spare_exchanges_;
};

} // namespace anvilturn

#endif
