// Purpose: keeps the probes of targets within the probe budget that a release
// sets, for all VMs together. The targets are divided into probe shards. Only
// the VM that holds the probe lease of a target's shard sends probes to it. The
// leases are stored in one object of the platform; the functions here say when
// a lease may be claimed, renewed and used.
// Depends on: av_core, av_model, av_routing (hashes), av_platform (values of
// the store), yaml-cpp (the codec), av_http, av_net, Asio and Beast (the
// sender).

#ifndef AV_PROBING_AV_PROBING_HPP
#define AV_PROBING_AV_PROBING_HPP

#include <av_probing/probe_lease_manager.hpp>
#include <av_probing/probe_lease_state.hpp>
#include <av_probing/probe_lease_table.hpp>
#include <av_probing/probe_lease_table_codec.hpp>
#include <av_probing/probe_permission.hpp>
#include <av_probing/probe_sender.hpp>
#include <av_probing/shard_assignment.hpp>

#endif
