#ifndef AV_MEMBERSHIP_MEMBERSHIP_DIGEST_HPP
#define AV_MEMBERSHIP_MEMBERSHIP_DIGEST_HPP

#include <av_core/comparison.hpp>
#include <av_membership/heartbeat.hpp>
#include <av_model/vm_description.hpp>

#include <cstdint>
#include <tuple>
#include <vector>

namespace anvilturn
{

// The membership information that one VM sends another.
struct membership_digest
{
    // Incarnation of the sender.
    std::uint64_t incarnation_ = 0;
    std::vector<heartbeat> heartbeats_;
    // Descriptions that the receiver probably lacks.
    std::vector<vm_description> descriptions_;
    // Incarnations whose description the sender lacks.
    std::vector<std::uint64_t> missing_descriptions_;
    // Incarnations of members that the sender itself failed to reach.
    std::vector<std::uint64_t> suspected_members_;

    // Returns all members, for comparison.
    auto tie() const
    {
        return std::tie(incarnation_,
                        heartbeats_,
                        descriptions_,
                        missing_descriptions_,
                        suspected_members_);
    }
};

} // namespace anvilturn

#endif
