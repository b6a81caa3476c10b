#ifndef AV_PROBING_PROBE_SEATS_HPP
#define AV_PROBING_PROBE_SEATS_HPP

#include <av_core/milliseconds.hpp>
#include <av_probing/seat_table.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace anvilturn
{

// Duration of a lease. Its holder measures it from before it sent the write.
constexpr milliseconds seat_lease_length(10000.0);

// The VM on whose behalf the functions below act.
struct seat_owner
{
    std::string name_;
    std::uint64_t incarnation_ = 0;
};

// What this VM knows of the lease of one shard. Times are of the monotonic
// clock.
struct seat_lease
{
    // When this VM first saw the record in its current state.
    milliseconds seen_at_{0.0};
    // Since when this VM has held the lease without a break: the time of the
    // first confirmation.
    milliseconds held_since_{0.0};
    // Until when this VM holds the lease; zero if it does not.
    milliseconds valid_until_{0.0};
    // Number of the last write that this VM sent for the shard. No two writes
    // of a VM share a number: otherwise a write that took effect late could be
    // mistaken for a later one, and its lease would count from a later time
    // than it may.
    std::uint64_t last_attempt_ = 0;
};

// A conditional write of which it is not known whether it took effect.
struct pending_seat_write
{
    seat_table table_;
    std::uint64_t expected_version_ = 0;
    milliseconds sent_at_{0.0};
};

// One VM's knowledge of all probe leases. A value type: the functions below
// return the next state.
struct probe_seats
{
    // Version of the newest table that was read; zero before the first.
    std::uint64_t version_ = 0;
    seat_table table_ = seat_table(probe_seat_count);
    std::vector<seat_lease> leases_ = std::vector<seat_lease>(probe_seat_count);
    std::optional<pending_seat_write> pending_;
};

// Returns the state after the object was read; pass version zero and an empty
// table if it does not exist. Reads may be stale: a version older than the
// known one changes nothing. A write whose response was lost is resolved when a
// newer table contains it.
probe_seats after_seats_read(probe_seats seats,
                             const seat_owner& self,
                             std::uint64_t version,
                             const seat_table& table,
                             milliseconds now);

// Returns the table that this VM should write now, on condition of the known
// version: leases that it holds and that are due are renewed, and shards that
// it is a candidate for are claimed once their holder's lease has expired by
// this VM's clock. Returns std::nullopt if there is nothing to write.
std::optional<seat_table> wanted_seats(const probe_seats& seats,
                                       const seat_owner& self,
                                       const std::vector<bool>& is_candidate,
                                       milliseconds now);

// Returns the table without any lease of this VM, for a graceful shutdown;
// std::nullopt if it holds none. Call after_leases_dropped first.
std::optional<seat_table> seats_given_back(const probe_seats& seats,
                                           const seat_owner& self);

// Returns the state for a write that is about to be sent. Read the time before
// sending: the lease counts from it.
probe_seats after_write_sent(probe_seats seats,
                             const seat_table& table,
                             milliseconds sent_at);

// Returns the state after the platform confirmed that the write took effect
// with the given version.
probe_seats after_write_accepted(probe_seats seats,
                                 const seat_owner& self,
                                 std::uint64_t version,
                                 milliseconds now);

// Returns the state after the platform reported that the write had no effect.
// If the response was lost, leave the state as it is and read the object.
probe_seats after_write_refused(probe_seats seats);

// Returns the state in which this VM uses no lease until a later write is
// confirmed: its clocks showed a pause, or it is stopping.
probe_seats after_seats_dropped(probe_seats seats);

// Returns whether this VM holds the lease of the shard at the given time.
bool holds_seat(const probe_seats& seats,
                std::size_t seat,
                milliseconds now) noexcept;

} // namespace anvilturn

#endif
