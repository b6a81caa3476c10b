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

// Number of seats of a deployment. Each target belongs to one seat, and a
// seat's holder sends all probes of its targets. VMs that run different numbers
// would share targets in different ways: change it only with the key of the
// platform's object.
constexpr std::size_t probe_shard_count = 4;

// What the platform holds of one seat.
struct probe_lease_record
{
    // Name of the VM that holds or held it; empty if it was given back.
    std::string holder_;
    // Tells the holder from a later VM of the same name.
    std::uint64_t incarnation_ = 0;
    // Grows with each claim and renewal, so that every write is visible.
    std::uint64_t renewals_ = 0;

    // Returns all members, for comparison.
    auto tie() const
    {
        return std::tie(holder_, incarnation_, renewals_);
    }
};

// The whole object: one record for each seat.
using probe_lease_table = std::vector<probe_lease_record>;

} // namespace anvilturn

#endif
