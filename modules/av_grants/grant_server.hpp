#ifndef AV_GRANTS_GRANT_SERVER_HPP
#define AV_GRANTS_GRANT_SERVER_HPP

#include <av_quota/fleet_limit.hpp>
#include <av_quota/limit_key.hpp>

#include <absl/status/status.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
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

// What a grant server needs to know.
struct grant_server_options
{
    // IP address and port to listen on.
    std::string address_;
    // Number of VMs that own a share of each limit, this one included.
    std::size_t grantor_count_ = 1;
    // Further connections are closed. Each request thread of a VM has one.
    std::size_t max_connections_ = 2048;
};

// What a grant server has done since its start.
struct grant_server_statistics
{
    std::uint64_t queries_ = 0;
    // Permits given.
    std::uint64_t permits_ = 0;
    // Requests that got no permit, and those for unknown limits.
    std::uint64_t refused_ = 0;
    std::uint64_t unknown_ = 0;
    std::size_t connections_ = 0;
    // Limits of which some share is in use.
    std::size_t keys_ = 0;
};

// Gives permits of the shares that this VM owns to the VMs that ask for them.
// Runs on the thread of the io_context only.
class grant_server
{
public:
    // The function returns the limit of a key; nothing if there is no such
    // limit.
    grant_server(
        boost::asio::io_context& context,
        grant_server_options options,
        std::function<std::optional<fleet_limit>(const limit_key&)> limit_of);
    ~grant_server();
    grant_server(const grant_server&) = delete;
    grant_server& operator=(const grant_server&) = delete;

    // Listens; settings_invalid if the address can't be used.
    absl::Status start();

    // Returns the address with the port that the system has assigned.
    std::string address() const;

    grant_server_statistics statistics() const;

private:
    class implementation;
    std::shared_ptr<implementation> implementation_;
};

} // namespace anvilturn

#endif
