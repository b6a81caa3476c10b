// Private to av_membership.

#ifndef AV_MEMBERSHIP_FAILURE_DETECTION_HPP
#define AV_MEMBERSHIP_FAILURE_DETECTION_HPP

#include <av_membership/membership_digest.hpp>
#include <av_membership/membership_state.hpp>

#include <cstdint>
#include <vector>

namespace anvilturn
{

// Records that the VM of that incarnation suspects the member.
void add_suspicion(const membership_state& state,
                   member_record& record,
                   std::uint64_t incarnation);

// Merges the suspicions that another VM reports.
void merge_suspicions(membership_state& state, const membership_digest& digest);

// Returns the incarnations of the members that this VM suspects, as far as they
// are to be reported.
std::vector<std::uint64_t> reported_suspicions(const membership_state& state);

// Marks as lost the members that a quorum can't reach, whose heartbeats stayed
// away for too long, or that the platform no longer lists.
void remove_timed_out(membership_state& state, milliseconds now);

// Removes the records of members that were lost or left long ago.
void remove_expired_records(membership_state& state, milliseconds now);

} // namespace anvilturn

#endif
