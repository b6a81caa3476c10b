#ifndef AV_CONTROL_CONTROL_OPTIONS_HPP
#define AV_CONTROL_CONTROL_OPTIONS_HPP

#include <av_control/control_platform.hpp>
#include <av_membership/membership_limits.hpp>
#include <av_model/release.hpp>
#include <av_model/vm_description.hpp>
#include <av_peer/peer_options.hpp>

#include <absl/status/statusor.h>

#include <functional>
#include <string>
#include <vector>

namespace anvilturn
{

// Configuration of a control_plane.
struct control_options
{
    // This VM. An incarnation of zero is replaced by one made from the wall
    // clock, and port 0 in the peer address by the port that was bound.
    vm_description self_;
    std::string deployment_;
    // Peer addresses to contact at startup, in addition to the platform's list.
    std::vector<std::string> seed_addresses_;
    // Makes the calls to the platform; only the factory knows its address.
    // Without a factory this VM relies on its peers.
    platform_factory platform_;
    // Decodes and validates the text of a release. Called on a separate thread,
    // for one text at a time.
    std::function<absl::StatusOr<release>(const std::string&)> decode_;
    membership_limits membership_;
    // An empty listen address is set from self_, the deployment always from
    // deployment_.
    peer_options peer_;
};

} // namespace anvilturn

#endif
