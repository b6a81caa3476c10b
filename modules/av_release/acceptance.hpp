#ifndef AV_RELEASE_ACCEPTANCE_HPP
#define AV_RELEASE_ACCEPTANCE_HPP

#include <av_core/milliseconds.hpp>
#include <av_model/release.hpp>
#include <av_release/acceptance_action.hpp>
#include <av_release/acceptance_event.hpp>
#include <av_release/release_limits.hpp>
#include <av_release/release_note.hpp>

#include <optional>
#include <string>

namespace anvilturn
{

// Bounds of one acceptance. No retry is scheduled past the time limit, and no
// write of the note starts after it, even if the VM was paused in between.
struct acceptance_limits
{
    // Limit on failed reads, lost responses and version mismatches together.
    int max_failures_ = 8;
    milliseconds initial_retry_delay_{50.0};
    milliseconds max_retry_delay_{1000.0};
    milliseconds time_limit_{20000.0};
};

enum class acceptance_phase
{
    // Reading the release to apply the note to.
    reading,
    // Writing the release with the note applied.
    writing,
    // The response to a write was lost: reading whether it took effect.
    settling,
    // Writing the head unchanged, so that a delayed write that is still in
    // flight fails its version condition whenever it arrives.
    fencing,
    finished
};

// State of one attempt to apply a note to the head, which is the platform's
// object that holds the release, or to determine whether an earlier attempt
// did. Create it with start_acceptance or start_settlement, then pass the
// result of each action to step_acceptance.
struct acceptance
{
    std::string note_id_;
    // Absent if the outcome of an earlier attempt is being settled.
    std::optional<release_note> note_;
    // The release version in force on this VM. A head with a lower release
    // version is stale.
    release_version min_version_ = 0;
    release_limits release_limits_;
    acceptance_limits limits_;
    milliseconds started_{0.0};

    acceptance_phase phase_ = acceptance_phase::reading;
    int failures_ = 0;
    // Reads, since the start or the last fence, that did not show whether the
    // write took effect.
    int unsettled_reads_ = 0;
    // Head version that the last write was conditional on.
    head_version expected_ = 0;
    // The release that the last write of the note contained.
    release candidate_;
    // The newest release read or written.
    release newest_;
    // Error of the last failed read or write.
    absl::Status last_failure_;
};

// An acceptance after a step, and the action to carry out next.
struct acceptance_step
{
    acceptance state_;
    acceptance_action action_;
};

// Starts accepting a note. The time is that of the monotonic clock, here and in
// each step. Use start_settlement for a note that was sent before.
acceptance_step start_acceptance(const release_note& note,
                                 release_version min_version,
                                 const release_limits& release_limits,
                                 const acceptance_limits& limits,
                                 milliseconds now);

// Starts determining whether the note with this id was accepted. After the
// result not_accepted, no attempt that had ended or exceeded its time limit
// before can still succeed.
acceptance_step start_settlement(const std::string& note_id,
                                 release_version min_version,
                                 const release_limits& release_limits,
                                 const acceptance_limits& limits,
                                 milliseconds now);

// Processes the result of the last action. The note is written at most once for
// each head that was read, and never while an earlier write of it may still
// take effect.
acceptance_step step_acceptance(acceptance state,
                                const acceptance_event& event,
                                milliseconds now);

} // namespace anvilturn

#endif
