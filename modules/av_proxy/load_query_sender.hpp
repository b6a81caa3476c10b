// Private to av_proxy.

#ifndef AV_PROXY_LOAD_QUERY_SENDER_HPP
#define AV_PROXY_LOAD_QUERY_SENDER_HPP

#include <av_core/milliseconds.hpp>
#include <av_proxy/routing_table.hpp>

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <memory>
#include <string>

namespace anvilturn
{

class worker;

// Sends load queries to the health path of targets, for one thread. Records
// each response in the state of the target and notifies the worker when a query
// has ended, with or without a response.
class load_query_sender
{
public:
    explicit load_query_sender(worker& owner);
    ~load_query_sender();
    load_query_sender(const load_query_sender&) = delete;
    load_query_sender& operator=(const load_query_sender&) = delete;

    // Sends a load query to the target, unless one is pending already.
    void send_query(const service_entry& service, const target_entry& target);

    bool awaits(const target_state* target) const;

    // Ends the queries that have timed out and records their targets as
    // unreachable.
    void drop_overdue(milliseconds now);

    // Cancels all pending queries without notifying the worker.
    void stop();

    std::uint64_t queries_sent() const;

private:
    class load_query;

    // Ends the query and notifies the worker.
    void finish_query(const target_state* target);

    worker& worker_;
    absl::flat_hash_map<const target_state*, std::unique_ptr<load_query>>
        pending_queries_;
    std::uint64_t queries_sent_ = 0;
};

} // namespace anvilturn

#endif
