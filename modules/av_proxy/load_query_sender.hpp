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

// Asks targets for their load by their health path, for one thread. What a
// target answers is recorded in its state; the worker is told that it came.
class load_query_sender
{
public:
    explicit load_query_sender(worker& owner);
    ~load_query_sender();
    load_query_sender(const load_query_sender&) = delete;
    load_query_sender& operator=(const load_query_sender&) = delete;

    // Asks the target, unless an answer of it is awaited already.
    void send_query(const service_entry& service, const target_entry& target);

    bool awaits(const target_state* target) const;

    // Gives up on answers that are awaited for too long.
    void drop_overdue(milliseconds now);

    // Gives up on all.
    void stop();

    std::uint64_t asked() const;

private:
    class load_query;

    // Ends the inquiry and tells the worker.
    void end(const target_state* target);

    worker& worker_;
    absl::flat_hash_map<const target_state*, std::unique_ptr<load_query>> open_;
    std::uint64_t queries_sent_ = 0;
};

} // namespace anvilturn

#endif
