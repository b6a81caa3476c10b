#ifndef AV_PROBING_PROBE_LEASE_TABLE_HPP
#define AV_PROBING_PROBE_LEASE_TABLE_HPP

#include <av_core/comparison.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace anvilturn
{

// Number of probe shards of a deployment. Each target belongs to one shard, and
// the holder of the shard's lease sends all probes of its targets. VMs with
// different numbers would assign targets to shards differently: change it only
// together with the key of the platform's object.
constexpr std::size_t probe_shard_count = 4;

// What the platform stores of the lease of one shard.
struct probe_lease_record
{
    // Name of the VM that holds or last held the lease; empty if it was
    // relinquished.
    std::string holder_;
    // Distinguishes the holder from a later VM of the same name.
    std::uint64_t incarnation_ = 0;
    // Increases with each claim and renewal, so that every write is visible.
    std::uint64_t renewals_ = 0;

    // Returns all members, for comparison.
    auto tie() const
    {
        return std::tie(holder_, incarnation_, renewals_);
    }
};

// The whole object: one record for each shard.
using probe_lease_table = std::vector<probe_lease_record>;

} // namespace anvilturn

#endif
