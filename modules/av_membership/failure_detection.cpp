#include <av_membership/failure_detection.hpp>

#include <av_membership/member_queries.hpp>
#include <av_membership/membership.hpp>

#include <algorithm>

namespace anvilturn
{
namespace
{

// A member removed as lost is still reported as suspected for
// suspicion_retention_, so that the last VMs that list it reach the quorum.
bool is_suspicion_reported(const membership_state& state,
                           const member_record& record)
{
    const bool is_recent = state.last_round_at_ - record.changed_at_ <=
                           state.limits_.suspicion_retention_;
    return is_suspected_by(record, state.local_heartbeat_.incarnation_) &&
           (is_alive(record) ||
            (record.condition_ == member_condition::lost && is_recent));
}

// A quorum of VMs failed to reach the member, and no newer heartbeat of it
// arrived through any other VM.
bool is_unreachable(const membership_state& state, const member_record& record)
{
    const std::size_t others = alive_count(state) - 1;
    const std::size_t needed =
        std::min(state.limits_.suspicion_quorum_, others);
    return record.suspected_by_.size() >= needed &&
           missed_rounds(state, record) >
               state.limits_.suspected_missed_rounds_;
}

// The platform's list never removes a member whose heartbeats arrive. It only
// halves the round limit of a member that is listed as leaving.
bool missed_too_many_rounds(const membership_state& state,
                            const member_record& record)
{
    const listed_vm* listed = find_listed(state, record.vm_.name_);
    const bool listed_as_leaving = listed != nullptr && listed->leaving_;
    const std::uint64_t limit = missed_round_limit(state);
    return missed_rounds(state, record) >
           (listed_as_leaving ? limit / 2 : limit);
}

// A VM that reaches the platform but no peer can't tell a fault of its own
// network from a failure of the peers. In that case the platform's list
// decides.
bool is_unlisted_too_long(const membership_state& state,
                          const member_record& record,
                          milliseconds now)
{
    const auto limit = state.limits_.unlisted_heartbeat_timeout_;
    return state.list_known_ && now - state.listed_at_ < limit &&
           now - record.last_contact_at_ > limit &&
           find_listed(state, record.vm_.name_) == nullptr;
}

} // namespace

void add_suspicion(const membership_state& state,
                   member_record& record,
                   std::uint64_t incarnation)
{
    const bool is_local = incarnation == state.local_heartbeat_.incarnation_;
    const bool has_room =
        record.suspected_by_.size() < state.limits_.suspicion_quorum_;
    if ((is_local || has_room) && !is_suspected_by(record, incarnation))
    {
        record.suspected_by_.push_back(incarnation);
    }
}

// A reported suspicion counts only while this VM has no recent heartbeat of the
// member either. This VM then calls the member itself, and reports a suspicion
// of its own only if that call fails too.
void merge_suspicions(membership_state& state, const membership_digest& digest)
{
    for (const std::uint64_t incarnation : digest.suspected_members_)
    {
        member_record* record = find_record(state, incarnation);
        if (record == nullptr || !is_alive(*record) ||
            missed_rounds(state, *record) <
                state.limits_.suspicion_missed_rounds_)
        {
            continue;
        }
        add_suspicion(state, *record, digest.incarnation_);
        if (!is_suspected_by(*record, state.local_heartbeat_.incarnation_))
        {
            state.pending_verifications_.insert(record->vm_.name_);
        }
    }
}

std::vector<std::uint64_t> reported_suspicions(const membership_state& state)
{
    std::vector<std::uint64_t> suspected;
    for (const auto& [name, record] : state.records_)
    {
        if (is_suspicion_reported(state, record) &&
            suspected.size() < state.limits_.reported_incarnation_limit_)
        {
            suspected.push_back(record.vm_.incarnation_);
        }
    }
    return suspected;
}

void remove_timed_out(membership_state& state, milliseconds now)
{
    for (auto& [name, record] : state.records_)
    {
        if (is_alive(record) && (missed_too_many_rounds(state, record) ||
                                 is_unreachable(state, record) ||
                                 is_unlisted_too_long(state, record, now)))
        {
            change_condition(record, member_condition::lost, now);
        }
    }
}

void remove_expired_records(membership_state& state, milliseconds now)
{
    for (auto entry = state.records_.begin(); entry != state.records_.end();)
    {
        const auto& record = entry->second;
        if (!is_alive(record) &&
            now - record.changed_at_ > state.limits_.lost_retention_)
        {
            state.names_by_incarnation_.erase(record.vm_.incarnation_);
            entry = state.records_.erase(entry);
        }
        else
        {
            ++entry;
        }
    }
}

} // namespace anvilturn
