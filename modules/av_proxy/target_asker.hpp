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

// Asks targets for their load by their health path, for one thread. What a
// target answers is recorded in its state; the worker is told that it came.
class target_asker
{
public:
    explicit target_asker(worker& owner);
    ~target_asker();
    target_asker(const target_asker&) = delete;
    target_asker& operator=(const target_asker&) = delete;

    // Asks the target, unless an answer of it is awaited already.
    void ask(const service_entry& service, const target_entry& target);

    bool awaits(const target_state* target) const;

    // Gives up on answers that are awaited for too long.
    void drop_late(milliseconds now);

    // Gives up on all.
    void stop();

    std::uint64_t asked() const;

private:
    class inquiry;

    // Ends the inquiry and tells the worker.
    void end(const target_state* target);

    worker& worker_;
    absl::flat_hash_map<const target_state*, std::unique_ptr<inquiry>> open_;
    std::uint64_t asked_ = 0;
};

} // namespace anvilturn

#endif
