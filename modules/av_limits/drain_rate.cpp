#include <av_limits/drain_rate.hpp>

#include <cmath>

namespace anvilturn
{

namespace
{

// Age at which a measurement has lost most of its weight, and after which the
// rate is not known: long enough for a VM with few calls to dequeue some, short
// enough to follow a change of the load within the deadlines of calls.
constexpr milliseconds rate_memory(1000.0);

drain_rate without_measurements(drain_rate rate) noexcept
{
    rate.waiting_time_ = milliseconds(0.0);
    rate.dequeues_ = 0.0;
    return rate;
}

drain_rate
with_interval(drain_rate rate, milliseconds interval, milliseconds now) noexcept
{
    const double weight = std::exp(-(interval / rate_memory));
    rate.waiting_time_ = rate.waiting_time_ * weight + interval;
    rate.dequeues_ = rate.dequeues_ * weight + 1.0;
    rate.measured_at_ = now;
    return rate;
}

} // namespace

drain_rate after_dequeue(drain_rate rate,
                         std::size_t still_waiting,
                         milliseconds now) noexcept
{
    if (rate.had_waiting_calls_)
    {
        const auto interval = now - rate.last_dequeue_at_;
        rate = interval > rate_memory ? without_measurements(rate)
                                      : with_interval(rate, interval, now);
    }
    rate.last_dequeue_at_ = now;
    rate.had_waiting_calls_ = still_waiting > 0;
    return rate;
}

drain_rate at_first_wait(drain_rate rate, milliseconds now) noexcept
{
    rate.had_waiting_calls_ = false;
    return now - rate.measured_at_ > rate_memory ? without_measurements(rate)
                                                 : rate;
}

milliseconds mean_interval(const drain_rate& rate) noexcept
{
    return rate.dequeues_ > 0.0 ? rate.waiting_time_ * (1.0 / rate.dequeues_)
                                : milliseconds(0.0);
}

} // namespace anvilturn
