#ifndef AV_PEER_PEER_ENDPOINT_HPP
#define AV_PEER_PEER_ENDPOINT_HPP

#include <av_model/release.hpp>
#include <av_peer/peer_handlers.hpp>
#include <av_peer/peer_message.hpp>
#include <av_peer/peer_options.hpp>
#include <av_peer/peer_traffic.hpp>
#include <av_spread/release_document.hpp>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <functional>
#include <memory>
#include <string>

namespace anvilturn
{

// Serves the peer protocol at one address and calls other VMs. It has a thread
// of its own, on which all callbacks run; they must not block. Functions may be
// called from any thread. Each call ends in one call of its callback within its
// time limit, unless the endpoint is destroyed before.
//
// Errors of calls: peer_unreachable (no connection, no answer in time),
// peer_other_deployment, peer_malformed.
class peer_endpoint
{
public:
    template <typename Value>
    using callback = std::function<void(absl::StatusOr<Value>)>;

    // Listens at the address of the options; settings_invalid if it can't.
    static absl::StatusOr<std::unique_ptr<peer_endpoint>>
    open(const peer_options& options, peer_handlers handlers);

    ~peer_endpoint();

    peer_endpoint(const peer_endpoint&) = delete;
    peer_endpoint& operator=(const peer_endpoint&) = delete;

    // Returns the address that peers can call, with the port in use.
    const std::string& address() const noexcept;

    // Sends what this VM knows and returns what the peer knows.
    void exchange(const std::string& address,
                  peer_message message,
                  callback<peer_message> done);

    // Tells the peer something new at once, one way.
    void push_update(const std::string& address,
                     peer_message message,
                     std::function<void(absl::Status)> done);

    // Reads the release that the peer holds, whole.
    void fetch_release(const std::string& address,
                       release_version version,
                       callback<release_document> done);

    // Returns the counts so far.
    peer_traffic traffic() const;

private:
    class implementation;
    explicit peer_endpoint(std::unique_ptr<implementation> impl);

    std::unique_ptr<implementation> implementation_;
};

} // namespace anvilturn

#endif
