#ifndef AV_PROBING_PROBE_LEASE_STATE_HPP
#define AV_PROBING_PROBE_LEASE_STATE_HPP

#include <av_core/milliseconds.hpp>
#include <av_probing/probe_lease_table.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace anvilturn
{

// Duration of a lease. Its holder measures it from before it sent the write.
constexpr milliseconds probe_lease_duration(10000.0);

// The VM on whose behalf the functions below act.
struct lease_holder
{
    std::string name_;
    std::uint64_t incarnation_ = 0;
};

// What this VM knows of the lease of one shard. Times are of the monotonic
// clock.
struct probe_lease
{
    // When this VM first saw the record in its current state.
    milliseconds record_seen_at_{0.0};
    // Since when this VM has held the lease without a break: the time of the
    // first confirmation.
    milliseconds held_since_{0.0};
    // Until when this VM holds the lease; zero if it does not.
    milliseconds valid_until_{0.0};
    // Number of the last write that this VM sent for the shard. No two writes
    // of a VM share a number: otherwise a write that took effect late could be
    // mistaken for a later one, and its lease would count from a later time
    // than it may.
    std::uint64_t last_write_number_ = 0;
};

// A conditional write of which it is not known whether it took effect.
struct pending_lease_write
{
    probe_lease_table table_;
    std::uint64_t expected_version_ = 0;
    milliseconds sent_at_{0.0};
};

// One VM's knowledge of all probe leases. A value type: the functions below
// return the next state.
struct probe_lease_state
{
    // Version of the newest table that was read; zero before the first.
    std::uint64_t version_ = 0;
    probe_lease_table table_ = probe_lease_table(probe_shard_count);
    std::vector<probe_lease> leases_ =
        std::vector<probe_lease>(probe_shard_count);
    std::optional<pending_lease_write> pending_;
};

// Returns the state after the object was read; pass version zero and an empty
// table if it does not exist. Reads may be stale: a version older than the
// known one changes nothing. A write whose response was lost is resolved when a
// newer table contains it.
probe_lease_state after_leases_read(probe_lease_state state,
                                    const lease_holder& self,
                                    std::uint64_t version,
                                    const probe_lease_table& table,
                                    milliseconds now);

// Returns the table that this VM should write now, on condition of the known
// version: leases that it holds and that are due are renewed, and shards that
// it is a candidate for are claimed once their holder's lease has expired by
// this VM's clock. Returns std::nullopt if there is nothing to write.
std::optional<probe_lease_table>
lease_table_to_write(const probe_lease_state& state,
                     const lease_holder& self,
                     const std::vector<bool>& is_candidate,
                     milliseconds now);

// Returns the table without any lease of this VM, for a graceful shutdown;
// std::nullopt if it holds none. Call after_leases_dropped first.
std::optional<probe_lease_table>
relinquished_lease_table(const probe_lease_state& state,
                         const lease_holder& self);

// Returns the state for a write that is about to be sent. Read the time before
// sending: the lease counts from it.
probe_lease_state after_write_sent(probe_lease_state state,
                                   const probe_lease_table& table,
                                   milliseconds sent_at);

// Returns the state after the platform confirmed that the write took effect
// with the given version.
probe_lease_state after_write_accepted(probe_lease_state state,
                                       const lease_holder& self,
                                       std::uint64_t version,
                                       milliseconds now);

// Returns the state after the platform reported that the write had no effect.
// If the response was lost, leave the state as it is and read the object.
probe_lease_state after_write_refused(probe_lease_state state);

// Returns the state in which this VM uses no lease until a later write is
// confirmed: its clocks showed a pause, or it is stopping.
probe_lease_state after_leases_dropped(probe_lease_state state);

// Returns whether this VM holds the lease of the shard at the given time.
bool holds_lease(const probe_lease_state& state,
                 std::size_t shard,
                 milliseconds now) noexcept;

} // namespace anvilturn

#endif
