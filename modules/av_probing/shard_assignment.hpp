#ifndef AV_PROBING_SHARD_ASSIGNMENT_HPP
#define AV_PROBING_SHARD_ASSIGNMENT_HPP

#include <av_model/fleet_view.hpp>

#include <cstddef>
#include <string_view>
#include <vector>

namespace anvilturn
{

// Returns the shard that a target belongs to; the same on every VM.
std::size_t shard_of_target(std::string_view target) noexcept;

// Returns for each shard whether this VM is a candidate for its lease: whether
// it is among the first few members by rendezvous hash. The limit keeps the
// number of calls to the platform from growing with the fleet. VMs may have
// different views: the lease still ensures a single holder.
std::vector<bool> candidate_shards(const fleet_view& fleet);

} // namespace anvilturn

#endif
