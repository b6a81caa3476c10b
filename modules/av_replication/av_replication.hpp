// Purpose: replicates the platform's store from the few VMs that watch it to
// all others, so that calls to the store don't grow with the fleet. Its headers
// include Asio: include them in source files only.
// Depends on: av_core, av_model, av_net, av_registry, Boost.Asio, Cap'n Proto
// and zlib (behind .cpp files).

#ifndef AV_REPLICATION_AV_REPLICATION_HPP
#define AV_REPLICATION_AV_REPLICATION_HPP

#include <av_replication/registry_log.hpp>
#include <av_replication/registry_publisher.hpp>
#include <av_replication/registry_subscriber.hpp>
#include <av_replication/registry_update.hpp>
#include <av_replication/replication_timing.hpp>
#include <av_replication/update_codec.hpp>

#endif
