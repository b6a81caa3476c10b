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
        const auto interval = now - rate.last_dequeue_at_;
        rate.mean_interval_ =
            rate.mean_interval_.count() > 0.0
                ? rate.mean_interval_ +
                      (interval - rate.mean_interval_) * interval_weight
                : interval;
    }
    rate.last_dequeue_at_ = now;
    rate.had_waiting_calls_ = still_waiting > 0;
    return rate;
}

milliseconds latest_start(milliseconds deadline,
                          milliseconds work_time) noexcept
{
    return deadline - work_time;
}

milliseconds expected_wait(const drain_rate& rate,
                           std::size_t calls_ahead) noexcept
{
    return rate.mean_interval_ * static_cast<double>(calls_ahead);
}

bool can_meet_deadline(const drain_rate& rate,
                       const admission_input& input) noexcept
{
    const auto wait = expected_wait(rate, input.calls_ahead_);
    return wait + input.work_time_ < input.time_left_;
}

} // namespace anvilturn
