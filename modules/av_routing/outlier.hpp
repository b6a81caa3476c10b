#ifndef AV_ROUTING_OUTLIER_HPP
#define AV_ROUTING_OUTLIER_HPP

#include <av_core/milliseconds.hpp>

#include <vector>

namespace anvilturn
{

// What one VM knows of a target's failures, and until when it keeps the target
// out (outlier ejection). Points in time are of the monotonic clock.
struct outlier_state
{
    // Failed answers since the last good one.
    int error_streak_ = 0;
    // Smoothed share of failed answers, 0 to 1.
    double error_share_ = 0.0;
    // Ejections in a row; each doubles the time of the next.
    int ejections_ = 0;
    // The target gets no new work before this point; zero if never ejected.
    milliseconds ejected_until_{0.0};
};

// Failures in a row that eject a target unless its service says otherwise.
constexpr int default_ejecting_streak = 3;

// Returns the state after an answer. A failure is an answer that says so (a
// status of 500 and above, a refusal, a broken connection), however fast it
// came. A streak of failures or a high share of them ejects the target.
outlier_state
after_result(outlier_state state,
             bool failed,
             milliseconds now,
             int ejecting_streak = default_ejecting_streak) noexcept;

// Returns the state after the target was found to be slow. See is_straggler.
outlier_state after_straggler_ejection(outlier_state state,
                                       milliseconds now) noexcept;

// Returns whether the target is kept out at this point in time.
bool is_ejected(const outlier_state& state, milliseconds now) noexcept;

// Returns whether a target's smoothed latency is out of line with the median
// of the service's targets. Latencies are compared only once a few answers
// were seen of each.
bool is_straggler(milliseconds latency, milliseconds median) noexcept;

// Returns the middle of the latencies above zero; zero if there are none.
milliseconds median_latency(std::vector<milliseconds> latencies);

// One target as limit_ejections sees it.
struct ejection_candidate
{
    bool ejected_ = false;
    // When the ejection ends; the ones that end last are the most certain.
    milliseconds until_{0.0};
    int slots_ = 0;
};

// Returns which targets may be kept out, so that the others have at least half
// of all slots: ejections that end last stay, the rest are taken back. So a
// wrong judgement can't empty a service.
std::vector<bool>
limit_ejections(const std::vector<ejection_candidate>& targets);

} // namespace anvilturn

#endif
