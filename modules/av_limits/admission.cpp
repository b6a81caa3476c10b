#include <av_limits/admission.hpp>

#include <algorithm>
#include <cmath>

namespace anvilturn
{

namespace
{

// Age at which a measurement has lost most of its weight: long enough for a VM
// with few calls to dequeue some, short enough to follow a change of the load
// within the deadlines of calls.
constexpr milliseconds rate_memory(1000.0);

double weight_after(milliseconds age) noexcept
{
    return std::exp(-(age / rate_memory));
}

} // namespace

drain_rate after_dequeue(drain_rate rate,
                         std::size_t still_waiting,
                         milliseconds now) noexcept
{
    if (rate.had_waiting_calls_)
    {
        const auto interval = now - rate.last_dequeue_at_;
        const double weight = weight_after(interval);
        rate.waiting_time_ = rate.waiting_time_ * weight + interval;
        rate.dequeues_ = rate.dequeues_ * weight + 1.0;
    }
    rate.last_dequeue_at_ = now;
    rate.had_waiting_calls_ = still_waiting > 0;
    return rate;
}

drain_rate at_first_wait(drain_rate rate) noexcept
{
    rate.had_waiting_calls_ = false;
    return rate;
}

milliseconds mean_interval(const drain_rate& rate, milliseconds now) noexcept
{
    if (rate.dequeues_ <= 0.0)
    {
        return milliseconds(0.0);
    }
    const auto mean = rate.waiting_time_ * (1.0 / rate.dequeues_);
    const auto since_last = now - rate.last_dequeue_at_;
    if (!rate.had_waiting_calls_ || since_last <= mean)
    {
        return mean;
    }
    const double weight = weight_after(since_last);
    const double dequeues = std::max(1.0, rate.dequeues_ * weight);
    const auto waiting_time = rate.waiting_time_ * weight + since_last;
    return std::max(mean, waiting_time * (1.0 / dequeues));
}

milliseconds latest_start(milliseconds deadline,
                          milliseconds work_time) noexcept
{
    return deadline - work_time;
}

} // namespace anvilturn
