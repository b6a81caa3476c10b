// Private to av_membership.

#ifndef AV_MEMBERSHIP_ROUND_CONTACTS_HPP
#define AV_MEMBERSHIP_ROUND_CONTACTS_HPP

#include <av_membership/membership_state.hpp>

#include <random>
#include <string>
#include <vector>

namespace anvilturn
{

// Returns the peer addresses to exchange digests with in this round, each once:
// members by turns, those whose suspicion is to be verified, and from time to
// time an address of a VM that is no member. After a pause there are more.
std::vector<std::string> choose_round_contacts(membership_state& state,
                                               bool resumed,
                                               std::minstd_rand& generator);

} // namespace anvilturn

#endif
