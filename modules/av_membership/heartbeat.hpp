#ifndef AV_MEMBERSHIP_HEARTBEAT_HPP
#define AV_MEMBERSHIP_HEARTBEAT_HPP

#include <av_core/comparison.hpp>
#include <av_model/release.hpp>

#include <cstdint>
#include <tuple>

namespace anvilturn
{

// The newest known state of one member, as the VMs gossip it. Among heartbeats
// of one incarnation the greater counter is the newer one.
struct heartbeat
{
    std::uint64_t incarnation_ = 0;
    std::uint32_t counter_ = 0;
    // A leaving VM takes no new calls. The flag is never cleared again within
    // an incarnation.
    bool leaving_ = false;
    // Version of the release in force on the member.
    release_version release_ = 0;

    // Returns all members, for comparison.
    auto tie() const
    {
        return std::tie(incarnation_, counter_, leaving_, release_);
    }
};

} // namespace anvilturn

#endif
