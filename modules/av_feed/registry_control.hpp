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
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace anvilturn
{

// Callbacks for a new release, for changed targets and for changed evacuations.
struct registry_handlers
{
    std::function<void(std::shared_ptr<const release> value)> on_release_;
    std::function<void(const std::map<std::string, target_spec>& targets)>
        on_targets_;
    // Called before the first targets if the store's evacuations are read;
    // otherwise never.
    std::function<void(const std::set<std::string>& failure_domains)>
        on_evacuations_;
};

// How a VM takes part in the replication of the store.
struct registry_options
{
    std::string failure_domain_;
    // Where this VM accepts subscribers, IP address and port; empty if it
    // accepts none.
    std::string peer_address_;
    // Where the watchers accept subscribers, IP address and port.
    std::vector<std::string> watchers_;
    // How often targets renew their entries in the store.
    milliseconds target_heartbeat_interval_{1500.0};
    service_spec service_defaults_;
};

// What one VM knows of the store, and how it learns of changes.
struct registry_state
{
    // Address of the watcher that sends updates to this VM; empty if there is
    // none.
    std::string watcher_;
    // When the store last answered this VM or its watcher; zero if never.
    milliseconds answered_at_;
    // The latest time at which the contents were certainly complete; zero if
    // never.
    milliseconds current_at_;
    // When the release and the targets last changed here; zero if never.
    milliseconds release_at_;
    milliseconds targets_at_;
    release_version version_ = 0;
    std::size_t targets_ = 0;
    // Nothing if they are not known, or not read.
    std::optional<std::set<std::string>> evacuated_domains_;
    // VMs that subscribe to this one.
    std::size_t subscribers_ = 0;
    // How often updates from a watcher have ended.
    std::uint64_t watcher_losses_ = 0;
    store_call_counts calls_;
};

// The control plane of a VM whose releases and targets come from the
// platform's store; use control_plane where VMs distribute releases themselves.
// A few VMs, the watchers, watch the store and publish its changes to the
// others. A VM that gets no updates from a watcher reads the store itself. The
// release version passed to the handlers never decreases. Runs on the thread of
// the io_context only.
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

    // Fails with settings_invalid if it can't listen at the peer address.
    absl::Status start();

    registry_state state() const;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace anvilturn

#endif
