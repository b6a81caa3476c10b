#ifndef AV_PEER_PEER_HANDLERS_HPP
#define AV_PEER_PEER_HANDLERS_HPP

#include <av_peer/peer_message.hpp>
#include <av_spread/release_document.hpp>

#include <absl/status/statusor.h>

#include <functional>
#include <memory>

namespace anvilturn
{

// The handlers that a peer_endpoint invokes, on its own thread, for calls from
// peers. Handlers must not block. The reply functor may be called once, from
// any thread; a reply after the time limit of the call is discarded.
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
