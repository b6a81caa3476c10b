#ifndef AV_PROXY_FRESHNESS_HPP
#define AV_PROXY_FRESHNESS_HPP

#include <av_core/comparison.hpp>
#include <av_core/milliseconds.hpp>

#include <tuple>

namespace anvilturn
{

// Points in time of the monotonic clock that tell whether this VM may still
// vouch for a target. Negative means never.
struct freshness_input
{
    milliseconds now_;
    // When this VM last found that it had been paused.
    milliseconds resumed_at_{-1.0};
    // When the control plane last learned which targets leave.
    milliseconds refreshed_at_{-1.0};
    // When a target last answered without a sign of leaving.
    milliseconds answered_at_{-1.0};
    // Whether neither the platform nor any peer can be reached.
    bool isolated_ = false;

    // Returns all members, for comparison.
    auto tie() const
    {
        return std::tie(
            now_, resumed_at_, refreshed_at_, answered_at_, isolated_);
    }
};

// A thread that did not run for longer than this was paused.
constexpr milliseconds pause_threshold{2000.0};

// Time that calls wait for a refresh after a pause.
constexpr milliseconds isolated_refresh_timeout{500.0};

// Time after a pause at which the control plane, if it gave no sign, is taken
// to be cut off.
constexpr milliseconds refresh_timeout{3000.0};

// Returns whether a thread that was last seen at one point and runs at another
// was paused in between.
bool was_paused(milliseconds last_seen, milliseconds now);

// Returns whether new work may go to a target. After a pause the target may
// have left meanwhile, so that either the target itself or the control plane
// must have been heard since; a VM that is cut off from both goes on after a
// short wait.
bool may_dispatch_to(const freshness_input& facts);

} // namespace anvilturn

#endif
