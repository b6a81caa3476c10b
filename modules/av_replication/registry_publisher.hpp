#ifndef AV_REPLICATION_REGISTRY_PUBLISHER_HPP
#define AV_REPLICATION_REGISTRY_PUBLISHER_HPP

#include <av_core/milliseconds.hpp>
#include <av_replication/registry_log.hpp>

#include <absl/status/status.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <set>
#include <string>

namespace boost
{
namespace asio
{
class io_context;
}
} // namespace boost

namespace anvilturn
{

// Publishes what this VM reads from the store to the VMs that subscribe:
// changes at once, and a heartbeat at regular intervals. Runs on the thread of
// the io_context only.
class registry_publisher
{
public:
    // The failure domain is that of this VM. The function returns the time
    // since the contents that this VM reads from the store were certainly
    // complete. A publisher that appoints standbys names them to its
    // subscribers.
    registry_publisher(boost::asio::io_context& context,
                       const std::string& failure_domain,
                       bool appoints_standbys,
                       std::function<milliseconds()> contents_age);
    ~registry_publisher();
    registry_publisher(const registry_publisher&) = delete;
    registry_publisher& operator=(const registry_publisher&) = delete;

    // Listens at the address, an IP address and port; settings_invalid if it
    // can't be used.
    absl::Status start(const std::string& address);

    // The function returns the time since the contents that this VM has read
    // or got from a watcher were certainly complete, on which subscribers rely.
    // Called before start(), if at all.
    void set_relayed_contents_age(std::function<milliseconds()> age);
    // The function returns the time since the store last answered this VM or a
    // watcher that it follows. Called before start(), if at all.
    void set_answer_age(std::function<milliseconds()> age);

    // Subscribers get contents only once the evacuations were published too.
    // Called before start(), if at all.
    void require_evacuations();

    // Send what has changed to the subscribers.
    void
    publish_targets(const std::map<std::string, registered_target>& targets,
                    store_revision revision);
    void publish_release(std::shared_ptr<const release> value);
    // Names the evacuated failure domains to all subscribers.
    void publish_evacuations(std::set<std::string> domains);

    // Returns the number of VMs that are connected.
    std::size_t subscribers() const;

    // Returns the address with the port that the system has assigned.
    std::string address() const;

private:
    class implementation;
    std::shared_ptr<implementation> implementation_;
};

} // namespace anvilturn

#endif
