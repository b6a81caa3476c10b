// Private to av_proxy.

#ifndef AV_PROXY_TARGET_ASKER_HPP
#define AV_PROXY_TARGET_ASKER_HPP

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
class target_asker
{
public:
    explicit target_asker(worker& owner);
    ~target_asker();
    target_asker(const target_asker&) = delete;
    target_asker& operator=(const target_asker&) = delete;

    // Sends a load query to the target, unless one is pending already.
    void ask(const service_entry& service, const target_entry& target);

    bool awaits(const target_state* target) const;

    // Ends the queries that have timed out and records their targets as
    // unreachable.
    void drop_late(milliseconds now);

    // Cancels all pending queries without notifying the worker.
    void stop();

    std::uint64_t asked() const;

private:
    class inquiry;

    // Ends the query and notifies the worker.
    void end(const target_state* target);

    worker& worker_;
    absl::flat_hash_map<const target_state*, std::unique_ptr<inquiry>> open_;
    std::uint64_t asked_ = 0;
};

} // namespace anvilturn

#endif
