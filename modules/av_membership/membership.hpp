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

// Returns the state of a VM that has just started and knows no other VM. The
// seeds are peer addresses (IP address and port) that it may call to find
// members.
membership_state start_membership(const vm_description& self,
                                  std::vector<std::string> seed_addresses,
                                  const membership_limits& limits,
                                  milliseconds now);

// The result of membership_tick: the next state, and what the caller has to do.
struct membership_round
{
    membership_state state_;
    // Peer addresses to exchange digests with now.
    std::vector<std::string> contacts_;
    // This VM was paused for longer than the limit: its state may be outdated,
    // and the caller should request a full refresh from the peers.
    bool resumed_ = false;
};

// Runs one heartbeat round. Call it every round_period. The random number seeds
// the order in which members are called.
membership_round
membership_tick(membership_state state, std::uint64_t random, milliseconds now);

// Returns the time between rounds, which grows with the number of members.
milliseconds round_period(const membership_state& state);

// Returns the number of rounds without a newer heartbeat after which a member
// is removed.
std::uint64_t missed_round_limit(const membership_state& state);

// Returns the digest that opens an exchange.
membership_digest make_digest(const membership_state& state);

// Returns the digest that replies to a request: only heartbeats that are newer
// here, and descriptions that the requesting VM lacks.
membership_digest make_reply(const membership_state& state,
                             const membership_digest& request);

// Returns the descriptions of the given incarnations, as far as they are known.
std::vector<vm_description>
find_descriptions(const membership_state& state,
                  const std::vector<std::uint64_t>& incarnations);

// Merges a digest that was received directly from its sender.
membership_state on_digest(membership_state state,
                           const membership_digest& digest,
                           milliseconds now);

// Records a failed call to the peer at the address.
membership_state on_contact_failed(membership_state state,
                                   const std::string& peer_address);

// Replaces the last known VM list of the platform.
membership_state on_vm_list(membership_state state,
                            std::vector<listed_vm> listed,
                            milliseconds now);

// Marks this VM as leaving. Other VMs remove it from their views as they learn
// of it, and its own view no longer includes it.
membership_state begin_leaving(membership_state state);

// Sets the release version that this VM's heartbeats carry; it never decreases.
membership_state set_local_release(membership_state state,
                                   release_version release);

// Returns the fleet as the rest of the program uses it: the members that are
// alive, and this VM unless it is leaving.
fleet_view make_fleet_view(const membership_state& state);

// Returns the record of an incarnation; null if it is not known.
const member_record* find_member(const membership_state& state,
                                 std::uint64_t incarnation);

// Returns the names of the other members that are alive, sorted.
std::vector<std::string> alive_names(const membership_state& state);

} // namespace anvilturn

#endif
