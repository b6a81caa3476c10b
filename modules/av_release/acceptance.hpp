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

// How long an acceptance goes on. An attempt ends before the time limit, also
// when its VM was paused meanwhile: it starts no write after it.
struct acceptance_limits
{
    // Failed reads, lost answers and lost races, taken together.
    int max_failures_ = 8;
    milliseconds initial_retry_delay_{50.0};
    milliseconds max_retry_delay_{1000.0};
    milliseconds time_limit_{20000.0};
};

enum class acceptance_phase
{
    // Reading the release that the note is applied to.
    reading,
    // Writing the release with the note.
    writing,
    // A write's answer was lost: reading whether it took effect.
    settling,
    // Writing what was read without a change, so that the lost write, if it
    // is still under way, fails its condition for good.
    fencing,
    finished
};

// One attempt to bring a note into the platform's head, or to settle whether
// an earlier attempt did. A plain value: start it, then step it with the
// answer to each action.
struct acceptance
{
    std::string note_id_;
    // Absent when an earlier attempt is settled.
    std::optional<release_note> note_;
    // The version in force on this VM: a head with a lower one is stale.
    release_version min_version_ = 0;
    release_limits release_limits_;
    acceptance_limits limits_;
    milliseconds started_{0.0};

    acceptance_phase phase_ = acceptance_phase::reading;
    int failures_ = 0;
    // Reads in a row that did not settle a lost write.
    int unsettled_reads_ = 0;
    // What the write under way was conditional on.
    head_version expected_ = 0;
    // The release that the write under way holds.
    release candidate_;
    // The newest release that was read.
    release newest_;
    // Why the last try failed.
    absl::Status last_failure_;
};

// An acceptance after a step, and what to do next.
struct acceptance_step
{
    acceptance state_;
    acceptance_action action_;
};

// Begins to accept a note. The time is that of the monotonic clock, as in each
// step.
acceptance_step start_acceptance(const release_note& note,
                                 release_version floor,
                                 const release_limits& release_limits,
                                 const acceptance_limits& limits,
                                 milliseconds now);

// Begins to settle whether the note of that id was accepted. Once it says
// not_accepted, attempts that ended or passed their time limit before can no
// longer succeed.
acceptance_step start_settlement(const std::string& note_id,
                                 release_version floor,
                                 const release_limits& release_limits,
                                 const acceptance_limits& limits,
                                 milliseconds now);

// Takes the answer to the last action. The note is written at most once for
// each head that was read, and never again while an earlier write of it may
// still take effect.
acceptance_step step_acceptance(acceptance state,
                                const acceptance_event& event,
                                milliseconds now);

} // namespace anvilturn

#endif
