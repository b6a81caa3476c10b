#ifndef AV_FEED_REGISTRY_CONTROL_HPP
#define AV_FEED_REGISTRY_CONTROL_HPP

#include <av_core/milliseconds.hpp>
#include <av_feed/store_adapter.hpp>
#include <av_model/release.hpp>
#include <av_model/target_spec.hpp>

#include <absl/status/status.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace anvilturn
{

// Who is told what the store holds.
struct registry_handlers
{
    std::function<void(std::shared_ptr<const release> value)> on_release_;
    std::function<void(const std::map<std::string, target_spec>& targets)>
        on_targets_;
};

// How a VM takes part.
struct registry_options
{
    std::string failure_domain_;
    // Where this VM tells others what it learns; empty if it does not.
    std::string peer_address_;
    // Where the VMs that watch the store tell others.
    std::vector<std::string> watchers_;
    service_spec service_defaults_;
};

// What one VM knows of the store at one moment.
struct registry_state
{
    // The watcher that tells this VM; empty if it follows the store itself.
    std::string watcher_;
    // When the store last answered, this VM or its watcher; zero if never.
    milliseconds answered_at_;
    // When the release and the targets last changed here; zero if never.
    milliseconds release_at_;
    milliseconds targets_at_;
    release_version version_ = 0;
    std::size_t targets_ = 0;
    // VMs that this one tells.
    std::size_t subscribers_ = 0;
    // Subscriptions that ended.
    std::uint64_t watcher_losses_ = 0;
    store_call_counts calls_;
};

// The control plane of a VM whose releases and targets come from the
// platform's store; use control_plane where VMs spread releases themselves. A
// few VMs, the watchers, follow the store and tell the others; a VM that hears
// no watcher follows the store itself. All runs on the thread of the
// io_context. The version told never falls.
class registry_control
{
public:
    registry_control(boost::asio::io_context& context,
                     registry_options options,
                     store_calls calls,
                     registry_handlers handlers);
    ~registry_control();
    registry_control(const registry_control&) = delete;
    registry_control& operator=(const registry_control&) = delete;

    // Fails if the peer address can't be used.
    absl::Status start();

    registry_state state() const;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace anvilturn

#endif
