#ifndef AV_MEMBERSHIP_MEMBERSHIP_LIMITS_HPP
#define AV_MEMBERSHIP_MEMBERSHIP_LIMITS_HPP

#include <av_core/milliseconds.hpp>

#include <cstddef>
#include <cstdint>

namespace anvilturn
{

// Bounds that the membership functions keep. The same values hold on every VM
// of a deployment.
struct membership_limits
{
    // The heartbeat period is the base and a time for each member, up to the
    // longest: messages grow with the fleet, so their rate falls with it.
    milliseconds base_period_{150.0};
    milliseconds period_per_member_{5.5};
    milliseconds longest_period_{1000.0};
    // A member is removed after silent_rounds_ + silent_rounds_per_doubling_ *
    // log2(members) rounds without a newer heartbeat from anyone.
    double base_missed_rounds_ = 5.0;
    double missed_rounds_per_doubling_ = 1.5;
    // A member that this many VMs failed to reach is removed after fewer
    // rounds without a newer heartbeat.
    std::size_t suspected_by_ = 3;
    std::uint64_t suspected_missed_rounds_ = 4;
    // Doubts of others count, and are looked into, after this many rounds
    // without a newer heartbeat.
    std::uint64_t suspicion_missed_rounds_ = 2;
    // Time for which a VM tells its doubts of a member that it removed.
    milliseconds suspicion_retention_{15000.0};
    // Members that are tried in one round because others doubt them.
    std::size_t verifications_per_round_ = 2;
    // A pause of this VM for longer than this, and than three periods, makes
    // it distrust its view.
    milliseconds gap_{1000.0};
    // Time for which a VM that the view lost is still tried now and then.
    milliseconds lost_retention_{2.0 * 3600.0 * 1000.0};
    // Time for which others are told that a VM left.
    milliseconds left_retention_{60.0 * 1000.0};
    // Every this many rounds, one VM that is not a member is tried.
    int rounds_between_discoveries_ = 5;
    // Time without a peer's heartbeat after which a VM that hears no peer, but
    // the platform, believes the platform that the peer is gone.
    milliseconds unlisted_heartbeat_timeout_{20000.0};
    // Members beyond this are ignored; also the length limit of a digest.
    std::size_t member_limit_ = 512;
    // Unknown incarnations that are asked for at once.
    std::size_t missing_description_limit_ = 64;
};

} // namespace anvilturn

#endif
