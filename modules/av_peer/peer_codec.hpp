#ifndef AV_PEER_PEER_CODEC_HPP
#define AV_PEER_PEER_CODEC_HPP

// Internal to this module, since it includes generated headers.

#include <av_peer/peer.capnp.h>
#include <av_peer/peer_message.hpp>
#include <av_spread/release_document.hpp>

#include <absl/status/statusor.h>

namespace anvilturn
{

// Encodes a message for the wire.
void encode_message(const peer_message& message,
                    wire::Exchange::Builder builder);

// Decodes a message; peer_malformed if a text or list is over its limit or a
// VM's name is empty. The reader throws kj::Exception at pointers outside the
// message, which the calling code catches.
absl::StatusOr<peer_message> decode_message(wire::Exchange::Reader reader);

// Encodes a release document for the wire.
void encode_document(const release_document& document,
                     wire::ReleaseDocument::Builder builder);

// Decodes a release document; peer_malformed if its digest is too long.
absl::StatusOr<release_document>
decode_document(wire::ReleaseDocument::Reader reader);

} // namespace anvilturn

#endif
