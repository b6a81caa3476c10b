// Purpose: exchanges messages between the VMs of one deployment over Cap'n
// Proto RPC, within limits on message size, time and number of connections.
// Depends on: av_core, av_membership, av_model, av_spread; Cap'n Proto and KJ
// (in source files only).

#ifndef AV_PEER_AV_PEER_HPP
#define AV_PEER_AV_PEER_HPP

#include <av_peer/peer_endpoint.hpp>
#include <av_peer/peer_handlers.hpp>
#include <av_peer/peer_message.hpp>
#include <av_peer/peer_options.hpp>
#include <av_peer/peer_traffic.hpp>

#endif
