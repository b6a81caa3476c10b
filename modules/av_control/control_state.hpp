#ifndef AV_CONTROL_CONTROL_STATE_HPP
#define AV_CONTROL_CONTROL_STATE_HPP

#include <av_core/milliseconds.hpp>
#include <av_membership/member_record.hpp>
#include <av_model/release.hpp>
#include <av_model/vm_description.hpp>
#include <av_peer/peer_traffic.hpp>
#include <av_platform/platform_call_counts.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace anvilturn
{

// A snapshot of the control plane's state, for the dump and for
// `release status`.
struct control_state
{
    // Monotonic time of the snapshot; the records use the same clock.
    milliseconds now_{0.0};
    vm_description self_;
    bool leaving_ = false;
    // Every other known VM with its membership record; the members are those
    // whose condition is alive. A VM's newest heartbeat names the release that
    // it has in force.
    std::vector<member_record> members_;
    release_version current_release_ = 0;
    std::string release_digest_;
    release_version newest_known_ = 0;
    bool serving_ = false;
    bool fetching_ = false;
    std::size_t target_states_ = 0;
    std::size_t target_probes_ = 0;
    milliseconds round_period_{0.0};
    std::uint64_t rounds_ = 0;
    // Number of pauses of this VM that were longer than the limit.
    std::uint64_t pauses_ = 0;
    // See control_plane.
    milliseconds last_contact_{0.0};
    milliseconds current_at_{0.0};
    bool watches_platform_ = false;
    // Start of the latest call that the platform answered; zero if none.
    milliseconds platform_answered_at_{0.0};
    platform_call_counts platform_calls_;
    peer_traffic traffic_;
    // Processor time of the control thread and of decoding releases, without
    // the thread of the peer endpoint.
    milliseconds cpu_time_{0.0};
};

} // namespace anvilturn

#endif
