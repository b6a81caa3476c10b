#include <av_probing/probe_lease_state.hpp>

#include <algorithm>
#include <cassert>
#include <utility>

namespace anvilturn
{

namespace
{

// Part by which the clocks of two VMs may differ in rate.
constexpr double clock_rate_margin = 0.02;
// Part of a lease after which it is renewed.
constexpr double renewal_fraction = 1.0 / 3.0;

bool is_held_by(const probe_lease_record& record, const lease_holder& owner)
{
    return record.holder_ == owner.name_ &&
           record.incarnation_ == owner.incarnation_;
}

// The lease counts from before the write was sent, whenever the confirmation
// came; a confirmation that came too late gives nothing.
probe_lease
extended_lease(probe_lease lease, milliseconds sent_at, milliseconds now)
{
    const auto until = sent_at + probe_lease_duration;
    if (until <= now)
    {
        return lease;
    }
    const bool was_held = now < lease.valid_until_;
    lease.held_since_ = was_held ? lease.held_since_ : now;
    lease.valid_until_ = std::max(lease.valid_until_, until);
    return lease;
}

// Whether the record is the one that the pending write put there.
bool confirms_pending_write(const probe_lease_state& leases,
                            std::size_t shard,
                            const probe_lease_record& record,
                            const lease_holder& self)
{
    return leases.pending_ && is_held_by(record, self) &&
           record == leases.pending_->table_[shard] &&
           record != leases.table_[shard];
}

bool is_renewal_due(const probe_lease& lease, milliseconds now)
{
    return now >=
           lease.valid_until_ - probe_lease_duration * (1.0 - renewal_fraction);
}

bool is_over(const probe_lease_record& record,
             const probe_lease& lease,
             milliseconds now)
{
    const auto longest = probe_lease_duration * (1.0 + 2.0 * clock_rate_margin);
    return record.holder_.empty() || now >= lease.record_seen_at_ + longest;
}

probe_lease_table normalized(const probe_lease_table& table)
{
    probe_lease_table result = table;
    result.resize(probe_shard_count);
    return result;
}

} // namespace

probe_lease_state after_leases_read(probe_lease_state leases,
                                    const lease_holder& self,
                                    std::uint64_t version,
                                    const probe_lease_table& table,
                                    milliseconds now)
{
    if (version < leases.version_)
    {
        return leases;
    }
    const auto records = normalized(table);
    for (std::size_t shard = 0; shard < probe_shard_count; ++shard)
    {
        auto& lease = leases.leases_[shard];
        if (confirms_pending_write(leases, shard, records[shard], self))
        {
            lease = extended_lease(lease, leases.pending_->sent_at_, now);
        }
        if (records[shard] != leases.table_[shard] || leases.version_ == 0)
        {
            lease.record_seen_at_ = now;
        }
        if (!is_held_by(records[shard], self))
        {
            lease.valid_until_ = milliseconds(0.0);
        }
    }
    const bool settled =
        leases.pending_ && version > leases.pending_->expected_version_;
    if (settled)
    {
        leases.pending_.reset();
    }
    leases.table_ = records;
    leases.version_ = version;
    return leases;
}

std::optional<probe_lease_table>
lease_table_to_write(const probe_lease_state& leases,
                     const lease_holder& self,
                     const std::vector<bool>& is_candidate,
                     milliseconds now)
{
    assert(is_candidate.size() == probe_shard_count);
    probe_lease_table result = leases.table_;
    bool changed = false;
    for (std::size_t shard = 0; shard < probe_shard_count; ++shard)
    {
        auto& record = result[shard];
        const auto& lease = leases.leases_[shard];
        const bool mine = is_held_by(record, self);
        const bool write =
            mine ? is_renewal_due(lease, now)
                 : is_candidate[shard] && is_over(record, lease, now);
        if (write)
        {
            record.holder_ = self.name_;
            record.incarnation_ = self.incarnation_;
            record.renewals_ =
                std::max(record.renewals_, lease.last_write_number_) + 1;
            changed = true;
        }
    }
    return changed ? std::make_optional(result) : std::nullopt;
}

std::optional<probe_lease_table>
relinquished_lease_table(const probe_lease_state& leases,
                         const lease_holder& self)
{
    probe_lease_table result = leases.table_;
    bool changed = false;
    for (auto& record : result)
    {
        if (is_held_by(record, self))
        {
            record.holder_.clear();
            record.incarnation_ = 0;
            ++record.renewals_;
            changed = true;
        }
    }
    return changed ? std::make_optional(result) : std::nullopt;
}

probe_lease_state after_write_sent(probe_lease_state leases,
                                   const probe_lease_table& table,
                                   milliseconds sent_at)
{
    const auto records = normalized(table);
    for (std::size_t shard = 0; shard < probe_shard_count; ++shard)
    {
        if (records[shard] != leases.table_[shard])
        {
            leases.leases_[shard].last_write_number_ = records[shard].renewals_;
        }
    }
    leases.pending_ = pending_lease_write{records, leases.version_, sent_at};
    return leases;
}

probe_lease_state after_write_accepted(probe_lease_state leases,
                                       const lease_holder& self,
                                       std::uint64_t version,
                                       milliseconds now)
{
    if (!leases.pending_)
    {
        return leases;
    }
    const auto table = leases.pending_->table_;
    return after_leases_read(std::move(leases), self, version, table, now);
}

probe_lease_state after_write_refused(probe_lease_state leases)
{
    leases.pending_.reset();
    return leases;
}

probe_lease_state after_leases_dropped(probe_lease_state leases)
{
    for (auto& lease : leases.leases_)
    {
        lease.valid_until_ = milliseconds(0.0);
    }
    leases.pending_.reset();
    return leases;
}

bool holds_lease(const probe_lease_state& leases,
                 std::size_t shard,
                 milliseconds now) noexcept
{
    return now < leases.leases_[shard].valid_until_;
}

} // namespace anvilturn
