// Purpose: networking code shared by the event loops, by the HTTP clients and
// servers of the control plane and of the operators' interface, and by the
// framed messages between VMs. Its headers include Asio, Beast or Cap'n Proto,
// which are slow to compile: include them in source files only, except for
// message_frame.hpp.
// Depends on: av_core, av_yaml (address syntax), Boost.Asio, Beast, Cap'n
// Proto, zlib.

#ifndef AV_NET_AV_NET_HPP
#define AV_NET_AV_NET_HPP

#include <av_net/callback_timer.hpp>
#include <av_net/capnp_frame.hpp>
#include <av_net/duration.hpp>
#include <av_net/endpoint.hpp>
#include <av_net/event_loop.hpp>
#include <av_net/frame_reader.hpp>
#include <av_net/http_caller.hpp>
#include <av_net/http_exchange.hpp>
#include <av_net/message_frame.hpp>

#endif
