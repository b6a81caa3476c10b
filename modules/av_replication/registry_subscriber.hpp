#ifndef AV_REPLICATION_REGISTRY_SUBSCRIBER_HPP
#define AV_REPLICATION_REGISTRY_SUBSCRIBER_HPP

#include <av_core/milliseconds.hpp>
#include <av_model/service_spec.hpp>
#include <av_replication/registry_update.hpp>

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

// Callbacks of a subscription.
struct subscriber_handlers
{
    // Returns false to reject an update, such as one older than the state
    // already known; the subscription then ends.
    std::function<bool(const registry_update& update)> on_update_;
    // The subscription has ended or could not be made.
    std::function<void(const std::string& reason)> on_end_;
};

// One subscription to a watcher. Runs on the thread of the io_context only.
class registry_subscriber
{
public:
    // The defaults are those of read_update.
    registry_subscriber(boost::asio::io_context& context,
                        const service_spec& defaults,
                        subscriber_handlers handlers);
    ~registry_subscriber();
    registry_subscriber(const registry_subscriber&) = delete;
    registry_subscriber& operator=(const registry_subscriber&) = delete;

    // Subscribes to the watcher at the address, an IP address and port, for
    // what follows the position. Errors are reported by on_end_.
    void start(const std::string& address,
               const replication_position& position);

    // Returns whether a part of the first message with contents has arrived,
    // but not all.
    bool is_receiving_contents() const;

private:
    class implementation;
    std::shared_ptr<implementation> implementation_;
};

} // namespace anvilturn

#endif
