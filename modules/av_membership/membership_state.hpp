#ifndef AV_MEMBERSHIP_MEMBERSHIP_STATE_HPP
#define AV_MEMBERSHIP_MEMBERSHIP_STATE_HPP

#include <av_core/milliseconds.hpp>
#include <av_membership/heartbeat.hpp>
#include <av_membership/listed_vm.hpp>
#include <av_membership/member_record.hpp>
#include <av_membership/membership_limits.hpp>
#include <av_model/vm_description.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace anvilturn
{

// One VM's knowledge of the fleet. Only the functions of membership.hpp modify
// it.
struct membership_state
{
    membership_limits limits_;
    vm_description self_;
    heartbeat local_heartbeat_;
    // Records of all other known VMs, by name: members, and VMs that left or
    // were lost less than lost_retention_ ago.
    std::map<std::string, member_record> records_;
    // Names by incarnation, for the entries of records_.
    std::map<std::uint64_t, std::string> names_by_incarnation_;
    // Incarnations known from heartbeats only, whose description is requested
    // from peers.
    std::set<std::uint64_t> missing_descriptions_;
    // The platform's VM list as it was last read, and when.
    std::vector<listed_vm> listed_;
    milliseconds listed_at_{0.0};
    bool list_known_ = false;
    // Peer addresses from the settings, for a start without the platform.
    std::vector<std::string> seed_addresses_;
    // Names of members that another VM failed to reach; this VM calls them
    // itself to verify it.
    std::set<std::string> pending_verifications_;
    // Names of members still to be called before the rotation starts again.
    std::vector<std::string> rotation_;
    // Rounds with contact to any peer. Missed heartbeats are counted in these
    // rounds, so that a VM without contact to any peer removes no members.
    std::uint64_t contact_rounds_ = 0;
    bool had_contact_since_round_ = false;
    std::uint64_t rounds_ = 0;
    milliseconds last_round_at_{0.0};
    std::uint64_t pauses_ = 0;
};

} // namespace anvilturn

#endif
