#include <av_probing/probe_lease_state.hpp>

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
constexpr double renewal_fraction = 1.0 / 3.0;

bool is_held_by(const probe_lease_record& record, const lease_holder& holder)
{
    return record.holder_ == holder.name_ &&
           record.incarnation_ == holder.incarnation_;
}

// The lease counts from before the write was sent, however late the
// confirmation arrives. A confirmation after that lease's expiry grants
// nothing.
probe_lease
extended_lease(probe_lease lease, milliseconds sent_at, milliseconds now)
{
    const auto expires_at = sent_at + probe_lease_duration;
    if (expires_at <= now)
    {
        return lease;
    }
    const bool was_held = now < lease.valid_until_;
    lease.held_since_ = was_held ? lease.held_since_ : now;
    lease.valid_until_ = std::max(lease.valid_until_, expires_at);
    return lease;
}

// Returns whether the record is the one that the pending write stored.
bool confirms_pending_write(const probe_lease_state& state,
                            std::size_t shard,
                            const probe_lease_record& record,
                            const lease_holder& self)
{
    return state.pending_ && is_held_by(record, self) &&
           record == state.pending_->table_[shard] &&
           record != state.table_[shard];
}

bool is_renewal_due(const probe_lease& lease, milliseconds now)
{
    return now >=
           lease.valid_until_ - probe_lease_duration * (1.0 - renewal_fraction);
}

bool has_expired(const probe_lease_record& record,
                 const probe_lease& lease,
                 milliseconds now)
{
    const auto longest_duration =
        probe_lease_duration * (1.0 + 2.0 * clock_rate_margin);
    return record.holder_.empty() ||
           now >= lease.record_seen_at_ + longest_duration;
}

probe_lease_table with_all_shards(const probe_lease_table& table)
{
    probe_lease_table result = table;
    result.resize(probe_shard_count);
    return result;
}

} // namespace

probe_lease_state after_leases_read(probe_lease_state state,
                                    const lease_holder& self,
                                    std::uint64_t version,
                                    const probe_lease_table& table,
                                    milliseconds now)
{
    if (version < state.version_)
    {
        return state;
    }
    const auto records = with_all_shards(table);
    for (std::size_t shard = 0; shard < probe_shard_count; ++shard)
    {
        auto& lease = state.leases_[shard];
        if (confirms_pending_write(state, shard, records[shard], self))
        {
            lease = extended_lease(lease, state.pending_->sent_at_, now);
        }
        if (records[shard] != state.table_[shard] || state.version_ == 0)
        {
            lease.record_seen_at_ = now;
        }
        if (!is_held_by(records[shard], self))
        {
            lease.valid_until_ = milliseconds(0.0);
        }
    }
    const bool is_resolved =
        state.pending_ && version > state.pending_->expected_version_;
    if (is_resolved)
    {
        state.pending_.reset();
    }
    state.table_ = records;
    state.version_ = version;
    return state;
}

std::optional<probe_lease_table>
lease_table_to_write(const probe_lease_state& state,
                     const lease_holder& self,
                     const std::vector<bool>& is_candidate,
                     milliseconds now)
{
    assert(is_candidate.size() == probe_shard_count);
    probe_lease_table result = state.table_;
    bool changed = false;
    for (std::size_t shard = 0; shard < probe_shard_count; ++shard)
    {
        auto& record = result[shard];
        const auto& lease = state.leases_[shard];
        const bool held_locally = is_held_by(record, self);
        const bool write = held_locally ? is_renewal_due(lease, now)
                                        : is_candidate[shard] &&
                                              has_expired(record, lease, now);
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
relinquished_lease_table(const probe_lease_state& state,
                         const lease_holder& self)
{
    probe_lease_table result = state.table_;
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

probe_lease_state after_write_sent(probe_lease_state state,
                                   const probe_lease_table& table,
                                   milliseconds sent_at)
{
    const auto records = with_all_shards(table);
    for (std::size_t shard = 0; shard < probe_shard_count; ++shard)
    {
        if (records[shard] != state.table_[shard])
        {
            state.leases_[shard].last_write_number_ = records[shard].renewals_;
        }
    }
    state.pending_ = pending_lease_write{records, state.version_, sent_at};
    return state;
}

probe_lease_state after_write_accepted(probe_lease_state state,
                                       const lease_holder& self,
                                       std::uint64_t version,
                                       milliseconds now)
{
    if (!state.pending_)
    {
        return state;
    }
    const auto table = state.pending_->table_;
    return after_leases_read(std::move(state), self, version, table, now);
}

probe_lease_state after_write_refused(probe_lease_state state)
{
    state.pending_.reset();
    return state;
}

probe_lease_state after_leases_dropped(probe_lease_state state)
{
    for (auto& lease : state.leases_)
    {
        lease.valid_until_ = milliseconds(0.0);
    }
    state.pending_.reset();
    return state;
}

bool holds_lease(const probe_lease_state& state,
                 std::size_t shard,
                 milliseconds now) noexcept
{
    return now < state.leases_[shard].valid_until_;
}

} // namespace anvilturn
