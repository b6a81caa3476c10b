#ifndef AV_PROBING_SHARD_ASSIGNMENT_HPP
#define AV_PROBING_SHARD_ASSIGNMENT_HPP

#include <av_model/fleet_view.hpp>

#include <cstddef>
#include <string_view>
#include <vector>

namespace anvilturn
{

// Returns the seat that a target belongs to; the same on every VM.
std::size_t shard_of_target(std::string_view target) noexcept;

// Returns for each seat whether this VM should try to hold it: it is among the
// first few of the members by rendezvous hash. So the calls to the platform
// don't grow with the fleet. Views may differ: a seat is safe all the same, by
// its lease.
std::vector<bool> shard_candidacy(const fleet_view& fleet);

} // namespace anvilturn

#endif
