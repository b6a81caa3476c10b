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

// Length of a lease, measured by its holder from before it sent the write.
constexpr milliseconds probe_lease_duration(10000.0);

// The VM that the functions below act for.
struct lease_holder
{
    std::string name_;
    std::uint64_t incarnation_ = 0;
};

// What this VM knows of one seat. Points in time are of the monotonic clock.
struct probe_lease
{
    // When this VM first saw the record as it is now.
    milliseconds record_seen_at_{0.0};
    // When the present tenure of this VM was confirmed.
    milliseconds held_since_{0.0};
    // Until when this VM holds the seat; zero if it does not.
    milliseconds valid_until_{0.0};
    // Number of the last write that this VM sent for the seat. No two writes
    // of a VM share a number: else a write that took effect late could be taken
    // for a later one, and its lease would count from too late a time.
    std::uint64_t last_write_number_ = 0;
};

// A conditional write whose answer has not settled whether it took effect.
struct pending_lease_write
{
    probe_lease_table table_;
    std::uint64_t expected_version_ = 0;
    milliseconds sent_at_{0.0};
};

// All that one VM knows of the seats. A value: the functions return the next.
struct probe_lease_state
{
    // Version of the newest table that was seen; zero before the first.
    std::uint64_t version_ = 0;
    probe_lease_table table_ = probe_lease_table(probe_shard_count);
    std::vector<probe_lease> leases_ =
        std::vector<probe_lease>(probe_shard_count);
    std::optional<pending_lease_write> pending_;
};

// Returns the state after the object was read; version zero and an empty table
// if it does not exist. Reads may be stale: an older version than the known one
// changes nothing. A write of this VM whose answer was lost is settled when a
// newer table shows it.
probe_lease_state after_leases_read(probe_lease_state leases,
                                    const lease_holder& self,
                                    std::uint64_t version,
                                    const probe_lease_table& table,
                                    milliseconds now);

// Returns the table that this VM should write now with the known version as a
// condition: seats that it holds and that are due are renewed, seats that it is
// a candidate for are claimed once their holder's lease is over by this VM's
// own clock. Nothing if there is nothing to write.
std::optional<probe_lease_table>
lease_table_to_write(const probe_lease_state& leases,
                     const lease_holder& self,
                     const std::vector<bool>& is_candidate,
                     milliseconds now);

// Returns the table that gives all seats of this VM back, for a graceful
// shutdown; nothing if it holds none. Call after_seats_dropped first.
std::optional<probe_lease_table>
relinquished_lease_table(const probe_lease_state& leases,
                         const lease_holder& self);

// Returns the state before a write is sent. The time must be read before
// sending: the lease counts from it.
probe_lease_state after_write_sent(probe_lease_state leases,
                                   const probe_lease_table& table,
                                   milliseconds sent_at);

// Returns the state after the platform said that the write took effect as the
// version.
probe_lease_state after_write_accepted(probe_lease_state leases,
                                       const lease_holder& self,
                                       std::uint64_t version,
                                       milliseconds now);

// Returns the state after the platform said that the write had no effect. If
// its answer was lost, leave the state as it is and read.
probe_lease_state after_write_refused(probe_lease_state leases);

// Returns the state in which this VM uses no seat until a later write is
// confirmed: its clocks disagreed after a pause, or it stops.
probe_lease_state after_leases_dropped(probe_lease_state leases);

// Returns whether this VM holds the seat at this point in time.
bool holds_lease(const probe_lease_state& leases,
                 std::size_t shard,
                 milliseconds now) noexcept;

} // namespace anvilturn

#endif
