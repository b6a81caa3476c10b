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
    // Its heartbeats arrive.
    alive,
    // It said that it leaves.
    left,
    // Nobody has had a newer heartbeat for too long.
    lost
};

// What this VM knows of another one, with the evidence.
struct member_record
{
    vm_description vm_;
    heartbeat newest_;
    member_condition condition_ = member_condition::alive;
    // The round and the time at which the newest heartbeat was learned.
    std::uint64_t last_heartbeat_round_ = 0;
    milliseconds last_contact_at_{0.0};
    // When this VM last had an answer of the member's own; zero if never.
    milliseconds answered_at_{0.0};
    // Calls to the member that failed since it last answered.
    int failed_calls_ = 0;
    // VMs, this one among them, that failed to reach the member since its
    // newest heartbeat, by incarnation; as many as the removal needs.
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
