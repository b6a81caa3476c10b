// Purpose: assembles anvilturnd from the request path, the control plane and
// the operator server, and shuts them down in order.
// Depends on: av_acceptor, av_control, av_core, av_feed, av_grants,
// av_membership, av_metrics, av_model, av_net, av_operator, av_platform,
// av_probing, av_proxy, av_quota, av_release, av_routing, av_settings,
// av_shutdown, av_spread; Boost.Asio and yaml-cpp (behind .cpp files).

#ifndef AV_DAEMON_AV_DAEMON_HPP
#define AV_DAEMON_AV_DAEMON_HPP

#include <av_daemon/daemon.hpp>
#include <av_daemon/daemon_options.hpp>
#include <av_daemon/daemon_state.hpp>
#include <av_daemon/metrics_page.hpp>
#include <av_daemon/state_dump.hpp>

#endif
