#ifndef AV_MEMBERSHIP_MEMBERSHIP_HPP
#define AV_MEMBERSHIP_MEMBERSHIP_HPP

#include <av_membership/membership_digest.hpp>
#include <av_membership/membership_state.hpp>
#include <av_model/fleet_view.hpp>

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace anvilturn
{

// Returns the state of a VM that has just started and knows nobody. The seeds
// are peer addresses (IP number and port) that may be tried at first.
membership_state start_membership(const vm_description& self,
                                  std::vector<std::string> seed_addresses,
                                  const membership_limits& limits,
                                  milliseconds now);

// What one round asks of the caller.
struct membership_round
{
    membership_state state_;
    // Peer addresses to exchange with now.
    std::vector<std::string> contacts_;
    // This VM was paused for longer than the limit: what it knows may be old,
    // and it should ask its peers for everything.
    bool resumed_ = false;
};

// Does one heartbeat round. Call it every round_period. The random number
// decides the order of the rotation.
membership_round
membership_tick(membership_state state, std::uint64_t random, milliseconds now);

// Returns the time between rounds, which grows with the fleet.
milliseconds round_period(const membership_state& state);

// Returns the rounds without news after which a member is removed.
std::uint64_t missed_round_limit(const membership_state& state);

// Returns the digest that opens an exchange.
membership_digest make_digest(const membership_state& state);

// Returns the digest that answers another one: only what is newer here, and
// what the other lacks.
membership_digest make_reply(const membership_state& state,
                             const membership_digest& asked);

// Returns the descriptions that the other side wants, if they are known.
std::vector<vm_description>
find_descriptions(const membership_state& state,
                  const std::vector<std::uint64_t>& wanted);

// Takes in a digest that was received from its sender itself.
membership_state on_digest(membership_state state,
                           const membership_digest& digest,
                           milliseconds now);

// Notes that a call to the peer at the address failed.
membership_state on_contact_failed(membership_state state,
                                   const std::string& peer_address);

// Takes in the platform's list.
membership_state on_vm_list(membership_state state,
                            std::vector<listed_vm> listed,
                            milliseconds now);

// Marks this VM as leaving; it is no member of any view from then on.
membership_state begin_leaving(membership_state state);

// Sets the release that this VM's heartbeats announce.
membership_state set_local_release(membership_state state,
                                   release_version release);

// Returns the members as the rest of the program sees them.
fleet_view make_fleet_view(const membership_state& state);

// Returns the record of an incarnation; null if it is not known.
const member_record* find_member(const membership_state& state,
                                 std::uint64_t incarnation);

// Returns the names of the members that are alive, in order.
std::vector<std::string> alive_names(const membership_state& state);

} // namespace anvilturn

#endif
