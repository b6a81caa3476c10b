// Purpose: replicates the platform's store from the few VMs that watch it to
// all others, so that calls to the store don't grow with the fleet. Its headers
// include Asio: include them in source files only.
// Depends on: av_core, av_model, av_net, av_registry, Boost.Asio, Cap'n Proto
// and zlib (behind .cpp files).

#ifndef AV_MIRROR_AV_MIRROR_HPP
#define AV_MIRROR_AV_MIRROR_HPP

#include <av_mirror/mirror_client.hpp>
#include <av_mirror/mirror_pace.hpp>
#include <av_mirror/mirror_server.hpp>
#include <av_mirror/registry_log.hpp>
#include <av_mirror/registry_update.hpp>
#include <av_mirror/update_codec.hpp>

#endif
