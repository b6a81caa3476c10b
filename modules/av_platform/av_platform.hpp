// Purpose: the client of the platform's object API, see docs/PROTOCOLS.md.
// Depends on: av_core, av_net, av_yaml; Boost.Asio and Beast (behind
// platform_client.cpp only).

#ifndef AV_PLATFORM_AV_PLATFORM_HPP
#define AV_PLATFORM_AV_PLATFORM_HPP

#include <av_platform/platform_call_counts.hpp>
#include <av_platform/platform_changes.hpp>
#include <av_platform/platform_client.hpp>
#include <av_platform/platform_client_options.hpp>
#include <av_platform/platform_keys.hpp>
#include <av_platform/platform_listing.hpp>
#include <av_platform/platform_object.hpp>
#include <av_platform/platform_vm.hpp>

#endif
