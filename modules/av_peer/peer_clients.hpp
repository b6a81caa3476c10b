#ifndef AV_PEER_PEER_CLIENTS_HPP
#define AV_PEER_PEER_CLIENTS_HPP

// Only for the source files of this module: it includes KJ and generated code.

#include <av_peer/peer.capnp.h>
#include <av_peer/peer_counters.hpp>
#include <av_peer/peer_endpoint.hpp>
#include <av_peer/peer_options.hpp>

#include <kj/async-io.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace anvilturn
{

struct peer_connection;

// Calls peers, on KJ's event loop, and keeps the connections for the next call.
class peer_clients final : private kj::TaskSet::ErrorHandler
{
public:
    peer_clients(kj::Timer& timer,
                 kj::Network& network,
                 const peer_options& options,
                 peer_counters& counters);
    ~peer_clients();

    void exchange(const std::string& address,
                  const peer_message& message,
                  const peer_endpoint::callback<peer_message>& done);
    void push_update(const std::string& address,
                     const peer_message& message,
                     const std::function<void(absl::Status)>& done);
    void fetch_release(const std::string& address,
                       release_version version,
                       const peer_endpoint::callback<release_document>& done);

private:
    absl::StatusOr<std::shared_ptr<peer_connection>>
    connect(const std::string& address);
    void finish(const std::shared_ptr<peer_connection>& connection,
                kj::Promise<absl::Status> call,
                milliseconds limit,
                const std::function<void(absl::Status)>& done);
    void drop(const std::shared_ptr<peer_connection>& connection);
    void close_least_recently_used();
    void taskFailed(kj::Exception&& exception) override;

    kj::Timer& timer_;
    kj::Network& network_;
    const peer_options& options_;
    peer_counters& counters_;
    std::map<std::string, std::shared_ptr<peer_connection>> connections_;
    kj::TaskSet tasks_;
};

} // namespace anvilturn

#endif
