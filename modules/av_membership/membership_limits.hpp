#ifndef AV_MEMBERSHIP_MEMBERSHIP_LIMITS_HPP
#define AV_MEMBERSHIP_MEMBERSHIP_LIMITS_HPP

#include <av_core/milliseconds.hpp>

#include <cstddef>
#include <cstdint>

namespace anvilturn
{

// Limits of the membership protocol. All VMs of a deployment must use the same
// values.
struct membership_limits
{
    // The heartbeat period is the base plus a time per member, up to the
    // longest: messages grow with the fleet, so their rate falls with it.
    milliseconds base_period_{150.0};
    milliseconds period_per_member_{5.5};
    milliseconds longest_period_{1000.0};
    // A member is removed after base_missed_rounds_ +
    // missed_rounds_per_doubling_ * log2(members) rounds without a newer
    // heartbeat from any VM.
    double base_missed_rounds_ = 5.0;
    double missed_rounds_per_doubling_ = 1.5;
    // A member that suspicion_quorum_ VMs failed to reach is removed after
    // suspected_missed_rounds_ rounds without a newer heartbeat.
    std::size_t suspicion_quorum_ = 3;
    std::uint64_t suspected_missed_rounds_ = 4;
    // Suspicions that other VMs report are counted and verified after this many
    // rounds without a newer heartbeat.
    std::uint64_t suspicion_missed_rounds_ = 2;
    // How long a VM reports its suspicion of a member after removing it.
    milliseconds suspicion_retention_{15000.0};
    // Maximum number of suspected members called in one round to verify reports
    // of other VMs.
    std::size_t verifications_per_round_ = 2;
    // A VM that was paused for longer than this, and for longer than three
    // periods, treats its state as outdated.
    milliseconds pause_threshold_{1000.0};
    // How long a VM is remembered after its removal. A lost VM is called now
    // and then during that time.
    milliseconds lost_retention_{2.0 * 3600.0 * 1000.0};
    // How long this VM advertises to others that a VM left.
    milliseconds left_retention_{60.0 * 1000.0};
    // Every this many rounds, the address of one VM that is not a member is
    // called.
    int rounds_between_discoveries_ = 5;
    // Time without a peer's heartbeat after which a VM that reaches the
    // platform but no peer removes a peer that the platform no longer lists. It
    // is also the maximum age of the list for this.
    milliseconds unlisted_heartbeat_timeout_{20000.0};
    // Maximum number of other members; further ones are ignored. Also the
    // length limit of a digest.
    std::size_t member_limit_ = 512;
    // Maximum number of incarnations whose descriptions are requested, or that
    // are reported as suspected, in one digest.
    std::size_t reported_incarnation_limit_ = 64;
};

} // namespace anvilturn

#endif
