// Private to av_membership.

#ifndef AV_MEMBERSHIP_MEMBER_QUERIES_HPP
#define AV_MEMBERSHIP_MEMBER_QUERIES_HPP

#include <av_membership/membership_state.hpp>

#include <cstddef>
#include <cstdint>
#include <string>

namespace anvilturn
{

bool is_alive(const member_record& record);

// Returns the number of members that are alive, this VM included.
std::size_t alive_count(const membership_state& state);

// Sets the condition and, if it differs, when it changed.
void change_condition(member_record& record,
                      member_condition condition,
                      milliseconds now);

// Returns the record of the incarnation; null if there is none.
member_record* find_record(membership_state& state, std::uint64_t incarnation);

// Returns the entry of the platform's list with that name; null if there is
// none.
const listed_vm* find_listed(const membership_state& state,
                             const std::string& name);

// Returns the number of rounds since the member's last heartbeat, without those
// in which this VM reached nobody.
std::uint64_t missed_rounds(const membership_state& state,
                            const member_record& record);

// Returns whether the VM of that incarnation suspects the member.
bool is_suspected_by(const member_record& record, std::uint64_t incarnation);

} // namespace anvilturn

#endif
