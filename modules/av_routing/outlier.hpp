#ifndef AV_ROUTING_OUTLIER_HPP
#define AV_ROUTING_OUTLIER_HPP

#include <av_core/milliseconds.hpp>

#include <vector>

namespace anvilturn
{

// A target's failures as one VM sees them, and until when the VM ejects the
// target (outlier ejection). Points in time are of the monotonic clock.
struct outlier_state
{
    // Consecutive failed responses.
    int error_streak_ = 0;
    // Smoothed fraction of failed responses, 0 to 1.
    double error_share_ = 0.0;
    // Consecutive ejections; each doubles the time of the next.
    int ejections_ = 0;
    // The target gets no new work before this point; zero if never ejected.
    milliseconds ejected_until_{0.0};
};

// Consecutive failures that eject a target unless its service sets another
// number.
constexpr int default_ejecting_streak = 3;

// Returns the state after an attempt ended. A failure is a status of 500 and
// above, a refusal or a broken connection, however fast it came. A number of
// consecutive failures or a high fraction of failures ejects the target.
outlier_state
after_result(outlier_state state,
             bool failed,
             milliseconds now,
             int ejecting_streak = default_ejecting_streak) noexcept;

// Returns the state after the target was ejected for its latency. See
// is_straggler.
outlier_state after_straggler_ejection(outlier_state state,
                                       milliseconds now) noexcept;

// Returns whether the target is ejected at this point in time.
bool is_ejected(const outlier_state& state, milliseconds now) noexcept;

// Returns whether a target's smoothed latency is an outlier compared with the
// median of the service's targets. Compare latencies only once a few responses
// of each target were seen.
bool is_straggler(milliseconds latency, milliseconds median) noexcept;

// Returns the median of the latencies above zero; zero if there are none.
milliseconds median_latency(std::vector<milliseconds> latencies);

// Input of limit_ejections for one target.
struct ejection_candidate
{
    bool ejected_ = false;
    // When the ejection ends. The later, the more certain the ejection.
    milliseconds ejection_ends_at_{0.0};
    int slots_ = 0;
};

// Returns which targets may be ejected, so that the others keep at least half
// of all slots: ejections that end last stay, the rest are taken back. So wrong
// ejections can't leave a service without targets.
std::vector<bool>
limit_ejections(const std::vector<ejection_candidate>& targets);

} // namespace anvilturn

#endif
