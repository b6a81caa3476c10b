#ifndef AV_PROXY_FRESHNESS_HPP
#define AV_PROXY_FRESHNESS_HPP

#include <av_core/comparison.hpp>
#include <av_core/milliseconds.hpp>

#include <tuple>

namespace anvilturn
{

// Input of may_dispatch_to: points in time of the monotonic clock that show how
// current the information of this VM about a target is. Negative means never.
struct freshness_input
{
    milliseconds now_;
    // When this VM last detected that it had been paused.
    milliseconds resumed_at_{-1.0};
    // When the control plane last received the draining state of the targets.
    milliseconds refreshed_at_{-1.0};
    // When the target last responded without a sign of draining.
    milliseconds answered_at_{-1.0};
    // Whether neither the platform nor any peer is reachable.
    bool isolated_ = false;

    // Returns all members, for comparison.
    auto tie() const
    {
        return std::tie(
            now_, resumed_at_, refreshed_at_, answered_at_, isolated_);
    }
};

// A thread that did not run for longer than this counts as paused.
constexpr milliseconds pause_threshold{2000.0};

// Time after a pause for which calls on an isolated VM wait for a refresh.
constexpr milliseconds isolated_refresh_timeout{500.0};

// Time after a pause at which the control plane, if it has not refreshed, is
// considered to be disconnected.
constexpr milliseconds refresh_timeout{3000.0};

// Returns whether a thread that last ran at last_seen and runs again at now was
// paused in between.
bool was_paused(milliseconds last_seen, milliseconds now);

// Returns whether new calls may go to a target. The target may have been
// removed during a pause, so either the target itself or the control plane must
// have responded since. Without a response, an isolated VM, which can reach
// neither platform nor peers, resumes after isolated_refresh_timeout, any other
// VM after refresh_timeout.
bool may_dispatch_to(const freshness_input& input);

} // namespace anvilturn

#endif
