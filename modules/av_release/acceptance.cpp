#include <av_release/acceptance.hpp>

#include <av_core/error.hpp>
#include <av_release/apply_note.hpp>
#include <av_release/release_codec.hpp>
#include <av_release/release_order.hpp>

#include <algorithm>
#include <cassert>
#include <cmath>
#include <utility>

namespace anvilturn
{
namespace
{

constexpr std::string_view head_source = "platform";
// Number of reads that don't show the effect of a write whose response was lost
// after which the write is fenced. More than one, since a read may be stale.
constexpr int max_unsettled_reads = 2;

// A head with its release parsed; version 0 if the head does not exist.
struct parsed_head
{
    head_version version_ = 0;
    release release_;
};

milliseconds retry_delay(const acceptance& state)
{
    const milliseconds delay =
        state.limits_.initial_retry_delay_ * std::exp2(state.failures_ - 1);
    return std::min(delay, state.limits_.max_retry_delay_);
}

std::string settle_command(const acceptance& state)
{
    return "anvilturnctl release settle " + state.note_id_;
}

std::string text_of(const absl::Status& status)
{
    return std::string(status.message());
}

acceptance_step finish(acceptance state,
                       acceptance_outcome outcome,
                       release_version version,
                       const absl::Status& status)
{
    state.phase_ = acceptance_phase::finished;
    finish_acceptance action{outcome, version, status, state.newest_};
    return {std::move(state), std::move(action)};
}

acceptance_step finish_accepted(acceptance state, release_version version)
{
    return finish(std::move(state),
                  acceptance_outcome::accepted,
                  version,
                  absl::OkStatus());
}

acceptance_step finish_not_accepted(acceptance state,
                                    const absl::Status& status)
{
    return finish(
        std::move(state), acceptance_outcome::not_accepted, 0, status);
}

acceptance_step finish_unknown(acceptance state)
{
    const absl::Status status =
        make_error(error_kind::release_outcome_unknown,
                   "note '" + state.note_id_ + "' may have been accepted: " +
                       text_of(state.last_failure_) + "; settle it with " +
                       settle_command(state));
    return finish(std::move(state), acceptance_outcome::unknown, 0, status);
}

// Whether a write of the note may still take effect.
bool is_outcome_unknown(const acceptance& state)
{
    return state.phase_ == acceptance_phase::settling ||
           state.phase_ == acceptance_phase::fencing || !state.note_;
}

// Ends the acceptance after a failure: unknown if a write may still take
// effect, else not accepted.
acceptance_step give_up(acceptance state)
{
    if (is_outcome_unknown(state))
    {
        return finish_unknown(std::move(state));
    }
    const absl::Status status = state.last_failure_;
    return finish_not_accepted(std::move(state), status);
}

// Counts a failure and reads the head again after the retry delay, or gives up
// at the limit of failures or of time.
acceptance_step retry_or_give_up(acceptance state,
                                 const absl::Status& failure,
                                 milliseconds now)
{
    state.last_failure_ = failure;
    ++state.failures_;
    const milliseconds delay = retry_delay(state);
    if (state.failures_ >= state.limits_.max_failures_ ||
        now + delay - state.started_ >= state.limits_.time_limit_)
    {
        return give_up(std::move(state));
    }
    return {std::move(state), read_head{delay}};
}

absl::StatusOr<parsed_head> parse_head(const std::optional<release_head>& head)
{
    if (!head)
    {
        return parsed_head{};
    }
    auto parsed = parse_release(head->text_, head_source);
    if (!parsed.ok())
    {
        return parsed.status();
    }
    return parsed_head{head->version_, *std::move(parsed)};
}

absl::Status stale_head_error(const acceptance& state, release_version seen)
{
    return make_error(error_kind::platform_unreachable,
                      "the platform returned version " + std::to_string(seen) +
                          " of the release, older than version " +
                          std::to_string(state.min_version_) +
                          " that is known to be accepted");
}

bool is_past_time_limit(const acceptance& state, milliseconds now)
{
    return now - state.started_ >= state.limits_.time_limit_;
}

// Applies the note to the release of the head and writes the result.
acceptance_step
write_note(acceptance state, const parsed_head& head, milliseconds now)
{
    state.phase_ = acceptance_phase::reading;
    auto candidate =
        apply_note(head.release_, *state.note_, state.release_limits_);
    if (!candidate.ok())
    {
        return finish_not_accepted(std::move(state), candidate.status());
    }
    if (is_past_time_limit(state, now))
    {
        return finish_not_accepted(
            std::move(state),
            make_error(error_kind::platform_unreachable,
                       "the time limit of the attempt expired"));
    }
    state.phase_ = acceptance_phase::writing;
    state.expected_ = head.version_;
    state.candidate_ = *std::move(candidate);
    write_head action{write_release(state.candidate_), state.expected_};
    return {std::move(state), std::move(action)};
}

// Writes the head unchanged. This increments its version, so that all writes
// conditional on an earlier version fail.
acceptance_step write_fence(acceptance state, const parsed_head& head)
{
    state.phase_ = acceptance_phase::fencing;
    state.unsettled_reads_ = 0;
    // A stale read must not lower the version that the write with the lost
    // response was conditional on.
    state.expected_ = std::max(state.expected_, head.version_);
    return {std::move(state),
            write_head{write_release(head.release_), head.version_}};
}

absl::Status note_not_found_error(const acceptance& state)
{
    return make_error(error_kind::object_unknown,
                      "note '" + state.note_id_ +
                          "' is not among the notes accepted up to "
                          "version " +
                          std::to_string(state.newest_.version_) +
                          " (recorded since version " +
                          std::to_string(oldest_base(state.newest_) + 1) +
                          "); it may be applied again");
}

absl::Status write_not_applied_error(const acceptance& state)
{
    return make_error(error_kind::platform_unreachable,
                      "the write of note '" + state.note_id_ +
                          "' did not take effect and no longer can; apply it "
                          "again");
}

// Handles a head that was read while the outcome of a write is unknown.
acceptance_step
on_unsettled_head(acceptance state, const parsed_head& head, milliseconds now)
{
    // A write that took effect would have created the first head after the
    // expected one, and all later heads would contain the note.
    if (state.note_ && head.version_ > state.expected_)
    {
        return write_note(std::move(state), head, now);
    }
    if (state.note_ && ++state.unsettled_reads_ < max_unsettled_reads)
    {
        return retry_or_give_up(std::move(state),
                                make_error(error_kind::platform_answer_lost,
                                           "the write is not visible yet"),
                                now);
    }
    return write_fence(std::move(state), head);
}

acceptance_step
on_head(acceptance state, const parsed_head& head, milliseconds now)
{
    state.newest_ = newer_release(state.newest_, head.release_);
    if (const auto version = find_note(head.release_, state.note_id_))
    {
        return finish_accepted(std::move(state), *version);
    }
    const bool is_stale =
        head.release_.version_ < state.min_version_ ||
        (state.note_ && head.release_.version_ < state.note_->base_version());
    const absl::Status stale_error =
        stale_head_error(state, head.release_.version_);
    if (is_stale && state.failures_ + 1 < state.limits_.max_failures_)
    {
        return retry_or_give_up(std::move(state), stale_error, now);
    }
    if (head.release_.version_ < state.min_version_)
    {
        state.last_failure_ = stale_error;
        return give_up(std::move(state));
    }
    return is_outcome_unknown(state)
               ? on_unsettled_head(std::move(state), head, now)
               : write_note(std::move(state), head, now);
}

acceptance_step
on_read(acceptance state, const head_read& event, milliseconds now)
{
    if (!event.result_.ok())
    {
        return retry_or_give_up(std::move(state), event.result_.status(), now);
    }
    const auto head = parse_head(*event.result_);
    if (!head.ok())
    {
        return retry_or_give_up(std::move(state), head.status(), now);
    }
    return on_head(std::move(state), *head, now);
}

// Whether a failed write is known to have had no effect.
bool had_no_effect(const absl::Status& status)
{
    const auto kind = kind_of(status);
    return kind == error_kind::version_mismatch ||
           kind == error_kind::platform_refused ||
           kind == error_kind::platform_unreachable;
}

acceptance_step
on_note_written(acceptance state, const head_written& event, milliseconds now)
{
    if (event.result_.ok())
    {
        state.newest_ = state.candidate_;
        const release_version version = state.candidate_.version_;
        return finish_accepted(std::move(state), version);
    }
    const absl::Status& failure = event.result_.status();
    state.phase_ = had_no_effect(failure) ? acceptance_phase::reading
                                          : acceptance_phase::settling;
    return retry_or_give_up(std::move(state), failure, now);
}

acceptance_step
on_fence_written(acceptance state, const head_written& event, milliseconds now)
{
    if (event.result_.ok())
    {
        const absl::Status status = state.note_ ? write_not_applied_error(state)
                                                : note_not_found_error(state);
        return finish_not_accepted(std::move(state), status);
    }
    state.phase_ = acceptance_phase::settling;
    return retry_or_give_up(std::move(state), event.result_.status(), now);
}

acceptance make_acceptance(const std::string& note_id,
                           release_version min_version,
                           const release_limits& release_limits,
                           const acceptance_limits& limits,
                           milliseconds now)
{
    acceptance state;
    state.note_id_ = note_id;
    state.min_version_ = min_version;
    state.release_limits_ = release_limits;
    state.limits_ = limits;
    state.started_ = now;
    return state;
}

} // namespace

std::string_view name_of(acceptance_outcome outcome) noexcept
{
    switch (outcome)
    {
    case acceptance_outcome::accepted:
        return "accepted";
    case acceptance_outcome::not_accepted:
        return "not_accepted";
    case acceptance_outcome::unknown:
        break;
    }
    return "unknown";
}

acceptance_step start_acceptance(const release_note& note,
                                 release_version min_version,
                                 const release_limits& release_limits,
                                 const acceptance_limits& limits,
                                 milliseconds now)
{
    acceptance state =
        make_acceptance(note.id(), min_version, release_limits, limits, now);
    state.note_ = note;
    return {std::move(state), read_head{}};
}

acceptance_step start_settlement(const std::string& note_id,
                                 release_version min_version,
                                 const release_limits& release_limits,
                                 const acceptance_limits& limits,
                                 milliseconds now)
{
    acceptance state =
        make_acceptance(note_id, min_version, release_limits, limits, now);
    state.phase_ = acceptance_phase::settling;
    return {std::move(state), read_head{}};
}

acceptance_step step_acceptance(acceptance state,
                                const acceptance_event& event,
                                milliseconds now)
{
    if (const auto* read = std::get_if<head_read>(&event))
    {
        assert(state.phase_ == acceptance_phase::reading ||
               state.phase_ == acceptance_phase::settling);
        return on_read(std::move(state), *read, now);
    }
    const auto& written = std::get<head_written>(event);
    assert(state.phase_ == acceptance_phase::writing ||
           state.phase_ == acceptance_phase::fencing);
    return state.phase_ == acceptance_phase::writing
               ? on_note_written(std::move(state), written, now)
               : on_fence_written(std::move(state), written, now);
}

} // namespace anvilturn
