#ifndef AV_MEMBERSHIP_MEMBER_RECORD_HPP
#define AV_MEMBERSHIP_MEMBER_RECORD_HPP

#include <av_core/comparison.hpp>
#include <av_core/milliseconds.hpp>
#include <av_membership/heartbeat.hpp>
#include <av_model/vm_description.hpp>

#include <cstdint>
#include <tuple>
#include <vector>

namespace anvilturn
{

enum class member_condition
{
    // Newer heartbeats of the member keep arriving.
    alive,
    // The member announced that it is leaving.
    left,
    // No newer heartbeat has arrived from any VM within the limits of
    // membership_limits, or none at all yet.
    lost
};

// What this VM knows of another VM, and the evidence for its condition.
struct member_record
{
    vm_description vm_;
    heartbeat newest_;
    member_condition condition_ = member_condition::alive;
    // The contact round (membership_state::contact_rounds_) and the time in
    // which the newest heartbeat arrived, directly or through another VM.
    std::uint64_t last_heartbeat_round_ = 0;
    milliseconds last_contact_at_{0.0};
    // When the member itself last sent this VM a digest; zero if it never did.
    milliseconds answered_at_{0.0};
    // Calls to the member that failed since it last sent a digest.
    int failed_calls_ = 0;
    // Incarnations of the VMs, this one included, that failed to reach the
    // member since its newest heartbeat. The incarnations of other VMs are
    // stored only up to suspicion_quorum_.
    std::vector<std::uint64_t> suspected_by_;
    // When the condition last changed.
    milliseconds changed_at_{0.0};

    // Returns all members, for comparison.
    auto tie() const
    {
        return std::tie(vm_,
                        newest_,
                        condition_,
                        last_heartbeat_round_,
                        last_contact_at_,
                        answered_at_,
                        failed_calls_,
                        suspected_by_,
                        changed_at_);
    }
};

} // namespace anvilturn

#endif
