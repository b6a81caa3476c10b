#ifndef AV_MIRROR_MIRROR_CLIENT_HPP
#define AV_MIRROR_MIRROR_CLIENT_HPP

#include <av_core/milliseconds.hpp>
#include <av_mirror/registry_update.hpp>
#include <av_model/service_spec.hpp>

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

// Who is told what a watcher tells.
struct mirror_handlers
{
    // Returns false for an update that can't be used, such as one that is
    // older than what is known; the subscription then ends.
    std::function<bool(const registry_update& update)> on_update_;
    // The subscription has ended, or never began.
    std::function<void(const std::string& reason)> on_end_;
};

// One subscription to a watcher. All runs on the thread of the io_context.
class mirror_client
{
public:
    // The defaults are as in read_update.
    mirror_client(boost::asio::io_context& context,
                  const service_spec& defaults,
                  mirror_handlers handlers);
    ~mirror_client();
    mirror_client(const mirror_client&) = delete;
    mirror_client& operator=(const mirror_client&) = delete;

    // Subscribes at the address, by IP number and port, from the position on.
    void start(const std::string& address, const mirror_position& position);

private:
    class implementation;
    std::shared_ptr<implementation> implementation_;
};

} // namespace anvilturn

#endif
