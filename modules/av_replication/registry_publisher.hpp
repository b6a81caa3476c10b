#ifndef AV_REPLICATION_REGISTRY_PUBLISHER_HPP
#define AV_REPLICATION_REGISTRY_PUBLISHER_HPP

#include <av_core/milliseconds.hpp>
#include <av_replication/registry_log.hpp>

#include <absl/status/status.h>

#include <cstddef>
#include <functional>
#include <memory>
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

// Tells other VMs what this one learns from the store, as it happens, and at
// intervals that nothing has. All runs on the thread of the io_context.
class registry_publisher
{
public:
    // The domain is this VM's; the function returns the time since the store
    // last answered.
    registry_publisher(boost::asio::io_context& context,
                       const std::string& failure_domain,
                       std::function<milliseconds()> store_response_age);
    ~registry_publisher();
    registry_publisher(const registry_publisher&) = delete;
    registry_publisher& operator=(const registry_publisher&) = delete;

    // Listens; settings_invalid if the address can't be used.
    absl::Status start(const std::string& address);

    // Tell what is new.
    void
    publish_targets(const std::map<std::string, registered_target>& targets,
                    store_revision revision);
    void publish_release(std::shared_ptr<const release> value);

    // VMs that are told.
    std::size_t subscribers() const;

    // The address, with the port that was drawn.
    std::string address() const;

private:
    class implementation;
    std::shared_ptr<implementation> implementation_;
};

} // namespace anvilturn

#endif
