#ifndef AV_PEER_PEER_ADDRESS_HPP
#define AV_PEER_PEER_ADDRESS_HPP

// Internal to this module, since it includes KJ headers.

#include <absl/status/statusor.h>

#include <kj/async-io.h>

#include <string>

namespace anvilturn
{

// Parses an IP address and port, such as "10.0.0.1:80" or "[::1]:80";
// peer_unreachable if it is anything else. Host names are refused: peers supply
// these addresses, and a DNS look-up would block the event loop.
absl::StatusOr<kj::Own<kj::NetworkAddress>>
parse_peer_address(kj::Network& network, const std::string& address);

} // namespace anvilturn

#endif
