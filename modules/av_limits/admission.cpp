#include <av_limits/admission.hpp>

namespace anvilturn
{

namespace
{

constexpr double interval_weight = 0.02;

} // namespace

drain_rate after_dequeue(drain_rate rate,
                         std::size_t still_waiting,
                         milliseconds now) noexcept
{
    if (rate.had_waiting_calls_)
    {
        const auto gap = now - rate.last_dequeue_at_;
        rate.gap_ = rate.gap_.count() > 0.0
                        ? rate.gap_ + (gap - rate.gap_) * interval_weight
                        : gap;
    }
    rate.last_dequeue_at_ = now;
    rate.had_waiting_calls_ = still_waiting > 0;
    return rate;
}

milliseconds expected_wait(const drain_rate& rate,
                           std::size_t calls_ahead) noexcept
{
    return rate.gap_ * static_cast<double>(calls_ahead);
}

bool can_meet_deadline(const drain_rate& rate,
                       const admission_input& question) noexcept
{
    const auto wait = expected_wait(rate, question.calls_ahead_);
    return wait + question.p95_latency_ < question.time_left_;
}

} // namespace anvilturn
