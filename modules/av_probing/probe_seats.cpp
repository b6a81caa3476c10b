#include <av_probing/probe_seats.hpp>

#include <algorithm>
#include <cassert>
#include <utility>

namespace anvilturn
{

namespace
{

// Fraction by which the clocks of two VMs may differ in rate.
constexpr double clock_rate_margin = 0.02;
// Fraction of a lease's duration after which it is renewed.
constexpr double renew_after = 1.0 / 3.0;

bool is_of(const seat_record& record, const seat_owner& owner)
{
    return record.holder_ == owner.name_ &&
           record.incarnation_ == owner.incarnation_;
}

// The lease counts from before the write was sent, however late the
// confirmation arrives. A confirmation after that lease's expiry grants
// nothing.
seat_lease granted(seat_lease lease, milliseconds sent_at, milliseconds now)
{
    const auto until = sent_at + seat_lease_length;
    if (until <= now)
    {
        return lease;
    }
    const bool was_held = now < lease.valid_until_;
    lease.held_since_ = was_held ? lease.held_since_ : now;
    lease.valid_until_ = std::max(lease.valid_until_, until);
    return lease;
}

// Returns whether the record is the one that the pending write stored.
bool shows_write(const probe_seats& seats,
                 std::size_t seat,
                 const seat_record& record,
                 const seat_owner& self)
{
    return seats.pending_ && is_of(record, self) &&
           record == seats.pending_->table_[seat] &&
           record != seats.table_[seat];
}

bool is_due(const seat_lease& lease, milliseconds now)
{
    return now >= lease.valid_until_ - seat_lease_length * (1.0 - renew_after);
}

bool is_over(const seat_record& record,
             const seat_lease& lease,
             milliseconds now)
{
    const auto longest = seat_lease_length * (1.0 + 2.0 * clock_rate_margin);
    return record.holder_.empty() || now >= lease.seen_at_ + longest;
}

seat_table normalized(const seat_table& table)
{
    seat_table result = table;
    result.resize(probe_seat_count);
    return result;
}

} // namespace

probe_seats after_seats_read(probe_seats seats,
                             const seat_owner& self,
                             std::uint64_t version,
                             const seat_table& table,
                             milliseconds now)
{
    if (version < seats.version_)
    {
        return seats;
    }
    const auto records = normalized(table);
    for (std::size_t seat = 0; seat < probe_seat_count; ++seat)
    {
        auto& lease = seats.leases_[seat];
        if (shows_write(seats, seat, records[seat], self))
        {
            lease = granted(lease, seats.pending_->sent_at_, now);
        }
        if (records[seat] != seats.table_[seat] || seats.version_ == 0)
        {
            lease.seen_at_ = now;
        }
        if (!is_of(records[seat], self))
        {
            lease.valid_until_ = milliseconds(0.0);
        }
    }
    const bool settled =
        seats.pending_ && version > seats.pending_->expected_version_;
    if (settled)
    {
        seats.pending_.reset();
    }
    seats.table_ = records;
    seats.version_ = version;
    return seats;
}

std::optional<seat_table> wanted_seats(const probe_seats& seats,
                                       const seat_owner& self,
                                       const std::vector<bool>& is_candidate,
                                       milliseconds now)
{
    assert(is_candidate.size() == probe_seat_count);
    seat_table result = seats.table_;
    bool changed = false;
    for (std::size_t seat = 0; seat < probe_seat_count; ++seat)
    {
        auto& record = result[seat];
        const auto& lease = seats.leases_[seat];
        const bool mine = is_of(record, self);
        const bool write =
            mine ? is_due(lease, now)
                 : is_candidate[seat] && is_over(record, lease, now);
        if (write)
        {
            record.holder_ = self.name_;
            record.incarnation_ = self.incarnation_;
            record.renewals_ =
                std::max(record.renewals_, lease.last_attempt_) + 1;
            changed = true;
        }
    }
    return changed ? std::make_optional(result) : std::nullopt;
}

std::optional<seat_table> seats_given_back(const probe_seats& seats,
                                           const seat_owner& self)
{
    seat_table result = seats.table_;
    bool changed = false;
    for (auto& record : result)
    {
        if (is_of(record, self))
        {
            record.holder_.clear();
            record.incarnation_ = 0;
            ++record.renewals_;
            changed = true;
        }
    }
    return changed ? std::make_optional(result) : std::nullopt;
}

probe_seats after_write_sent(probe_seats seats,
                             const seat_table& table,
                             milliseconds sent_at)
{
    const auto records = normalized(table);
    for (std::size_t seat = 0; seat < probe_seat_count; ++seat)
    {
        if (records[seat] != seats.table_[seat])
        {
            seats.leases_[seat].last_attempt_ = records[seat].renewals_;
        }
    }
    seats.pending_ = pending_seat_write{records, seats.version_, sent_at};
    return seats;
}

probe_seats after_write_accepted(probe_seats seats,
                                 const seat_owner& self,
                                 std::uint64_t version,
                                 milliseconds now)
{
    if (!seats.pending_)
    {
        return seats;
    }
    const auto table = seats.pending_->table_;
    return after_seats_read(std::move(seats), self, version, table, now);
}

probe_seats after_write_refused(probe_seats seats)
{
    seats.pending_.reset();
    return seats;
}

probe_seats after_seats_dropped(probe_seats seats)
{
    for (auto& lease : seats.leases_)
    {
        lease.valid_until_ = milliseconds(0.0);
    }
    seats.pending_.reset();
    return seats;
}

bool holds_seat(const probe_seats& seats,
                std::size_t seat,
                milliseconds now) noexcept
{
    return now < seats.leases_[seat].valid_until_;
}

} // namespace anvilturn
