// Purpose: the request path: accepts calls from callers and other VMs, chooses
// a target for each, and relays request and response. Each call ends with one
// of three outcomes: answered, not-run or unknown. Runs on several threads,
// without locks or blocking.
// Depends on: av_core, av_model, av_accounts, av_call, av_grants, av_http,
// av_limits, av_metrics, av_net, av_quota, av_routing, Boost.Asio and Beast (in
// .cpp files and private headers only).

#ifndef AV_PROXY_AV_PROXY_HPP
#define AV_PROXY_AV_PROXY_HPP

#include <av_proxy/freshness.hpp>
#include <av_proxy/outlier_check.hpp>
#include <av_proxy/region_limit.hpp>
#include <av_proxy/release_accounts.hpp>
#include <av_proxy/request_path.hpp>
#include <av_proxy/request_path_builder.hpp>
#include <av_proxy/request_path_settings.hpp>
#include <av_proxy/request_path_statistics.hpp>
#include <av_proxy/routing_table.hpp>
#include <av_proxy/rule_matcher.hpp>
#include <av_proxy/service_state.hpp>
#include <av_proxy/target_state.hpp>

#endif
