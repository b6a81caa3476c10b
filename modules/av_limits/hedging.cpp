#include <av_limits/hedging.hpp>

namespace anvilturn
{

std::optional<milliseconds> hedge_delay(const hedge_input& question) noexcept
{
    const bool wanted = question.idempotent_ && question.depth_ == 0 &&
                        question.p95_latency_.count() > 0.0;
    if (!wanted || question.time_left_ <= question.p95_latency_ * 2.0)
    {
        return std::nullopt;
    }
    return question.p95_latency_;
}

bool may_hedge_now(const hedge_input& question,
                   const retry_budget& budget) noexcept
{
    return question.idempotent_ && question.waiting_calls_ == 0 &&
           allows_extra_attempt(budget);
}

} // namespace anvilturn
