#include <av_limits/hedging.hpp>

namespace anvilturn
{

std::optional<milliseconds> hedge_delay(const hedge_input& input) noexcept
{
    const bool is_eligible = input.idempotent_ && input.depth_ == 0 &&
                             input.p95_latency_.count() > 0.0;
    if (!is_eligible || input.time_left_ <= input.p95_latency_ * 2.0)
    {
        return std::nullopt;
    }
    return input.p95_latency_;
}

bool may_hedge_now(const hedge_input& input,
                   const retry_budget& budget) noexcept
{
    return input.idempotent_ && input.waiting_calls_ == 0 &&
           allows_extra_attempt(budget);
}

} // namespace anvilturn
