// Purpose: runs the control plane of one VM. It maintains the fleet view, the
// release in force and the notices about targets, and publishes them to the
// request path, which keeps working if the control plane stops.
// Depends on: av_core, av_model, av_membership, av_net, av_spread, av_peer,
// av_platform; Boost.Asio and libcrypto (in source files only).

#ifndef AV_CONTROL_AV_CONTROL_HPP
#define AV_CONTROL_AV_CONTROL_HPP

#include <av_control/control_handlers.hpp>
#include <av_control/control_options.hpp>
#include <av_control/control_plane.hpp>
#include <av_control/control_platform.hpp>
#include <av_control/control_state.hpp>
#include <av_control/document_digest.hpp>

#endif
