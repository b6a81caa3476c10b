#ifndef AV_LIMITS_HEDGING_HPP
#define AV_LIMITS_HEDGING_HPP

#include <av_core/milliseconds.hpp>
#include <av_limits/retry_budget.hpp>

#include <optional>

namespace anvilturn
{

// What is known when a call is sent to a target for the first time.
struct hedge_input
{
    bool idempotent_ = false;
    int depth_ = 0;
    // Time that 95 of 100 calls of the service stay below at a target; zero if
    // too few calls were seen.
    milliseconds p95_latency_{0.0};
    milliseconds time_left_{0.0};
    // Calls of the service that wait at this VM. A hedge must not take a slot
    // that a waiting call could have.
    int waiting_calls_ = 0;
};

// Returns how long to wait for the answer before a second attempt is sent to
// another target; nothing if the call must not or should not be hedged. Ask
// may_hedge_now when that time has passed.
std::optional<milliseconds> hedge_delay(const hedge_input& question) noexcept;

// Returns whether the second attempt may be sent now: still nobody waits and
// the budget of extra attempts allows it.
bool may_hedge_now(const hedge_input& question,
                   const retry_budget& budget) noexcept;

} // namespace anvilturn

#endif
