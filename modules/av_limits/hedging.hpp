#ifndef AV_LIMITS_HEDGING_HPP
#define AV_LIMITS_HEDGING_HPP

#include <av_core/milliseconds.hpp>
#include <av_limits/retry_budget.hpp>

#include <optional>

namespace anvilturn
{

// Token bucket for the second sends (hedges) that one thread may make for one
// service: each call adds the hedge ratio, each hedge takes one token. The
// bucket holds one token, so any run of calls is followed by at most the ratio
// times their number of hedges, plus one.
struct hedge_budget
{
    double tokens_ = 0.0;
};

hedge_budget after_call_begun(hedge_budget budget, double hedge_ratio) noexcept;

bool allows_hedge(const hedge_budget& budget) noexcept;

// Returns the budget after one hedge. Requires allows_hedge.
hedge_budget after_hedge(hedge_budget budget) noexcept;

// Returns whether the retry budget allows a hedge. A quarter of the bucket's
// size must be left for the retries of failed attempts, so hedges need a burst
// of at least 4/3.
bool leaves_retry_reserve(const retry_budget& budget, double burst) noexcept;

// What is known of the target that a hedge could be sent to.
struct hedge_target
{
    // Busy slots plus queued calls by the newest report, and those sent since.
    int load_ = 0;
    int slots_ = 0;
    double slowdown_ = 1.0;
    // Age of that report; nothing if there is none.
    std::optional<milliseconds> report_age_;
    bool cold_ = false;
    bool evacuated_ = false;
};

// Returns whether the report is recent enough to base a hedge on.
bool is_fresh(const hedge_target& target) noexcept;

// Returns whether a call would run there undisturbed: the report is recent, the
// target is not slowed, and a slot would be left after the call.
bool has_room(const hedge_target& target) noexcept;

// Input of the decision on a call that runs at its only target.
struct hedge_input
{
    // Whether a rule of the release says that the call may run twice, and
    // whether the whole request is buffered.
    bool idempotent_ = false;
    bool replayable_ = false;
    int depth_ = 0;
    // Attempts that may have run, including the one that runs, and their limit.
    int possible_runs_ = 1;
    int max_attempts_ = 0;
    // Slowdown of the target that was known when the call began there.
    double slowdown_at_start_ = 1.0;
    milliseconds started_at_{0.0};
    milliseconds deadline_{0.0};
    // Time that a call of the rule is expected to take at a target that is not
    // slowed; zero if that is not known.
    milliseconds work_time_{0.0};
    // Calls of the service that wait at this VM.
    int waiting_calls_ = 0;
    // Best other target; nothing if there is none.
    std::optional<hedge_target> better_;
    // Whether the account has a quota, and a permit was obtained for the hedge.
    bool needs_permit_ = false;
    bool has_permit_ = false;
    retry_budget retries_;
    double retry_burst_ = default_retry_burst;
    hedge_budget hedges_;
};

enum class hedge_action
{
    // Send the call to the better target now, and take one token from both
    // budgets.
    send,
    // Request a permit of the account, then decide again.
    request_permit,
    // Decide again later.
    wait,
    // As wait, because of one of the budgets. Whether a better target has room
    // need not be known then.
    budget_spent,
    // The call must not be hedged any more.
    never
};

// Decides whether a call is sent to a second target. A long call is long at any
// target, so the time that a call has run does not trigger a hedge: only the
// slowdown of its target when it began does. The time run ends the opportunity,
// once a repetition would not be expected to end sooner. A call that took the
// last slot of a target is not hedged for that: in the model, such hedges used
// up the budget, and p99 at half load was 9 % higher than without them.
hedge_action decide_hedge(const hedge_input& input, milliseconds now) noexcept;

// Returns when the decision is first made, so that calls which end soon are not
// repeated; nothing if the call is never hedged, whatever happens.
std::optional<milliseconds>
first_hedge_check(const hedge_input& input) noexcept;

} // namespace anvilturn

#endif
