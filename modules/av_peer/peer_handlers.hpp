#ifndef AV_PEER_PEER_HANDLERS_HPP
#define AV_PEER_PEER_HANDLERS_HPP

#include <av_peer/peer_message.hpp>
#include <av_spread/release_document.hpp>

#include <absl/status/statusor.h>

#include <functional>
#include <memory>

namespace anvilturn
{

// What a peer_endpoint calls, on its own thread, when peers call it. Handlers
// must not block. A reply may be given once, from any thread; one that does not
// come within the time limit of the call is given up.
struct peer_handlers
{
    template <typename Value>
    using reply = std::function<void(absl::StatusOr<Value>)>;
    using shared_document = std::shared_ptr<const release_document>;

    std::function<void(peer_message, reply<peer_message>)> on_exchange_;
    std::function<void(peer_message)> on_pushed_update_;
    std::function<void(reply<shared_document>)> on_fetch_;
};

} // namespace anvilturn

#endif
