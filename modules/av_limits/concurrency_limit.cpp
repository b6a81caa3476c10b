#include <av_limits/concurrency_limit.hpp>

#include <algorithm>

namespace anvilturn
{

namespace
{

constexpr double decrease_on_refusal = 0.5;
constexpr double decrease_on_queue = 0.9;
// Latency beyond the base by this factor counts as queueing.
constexpr double queueing_latency_factor = 3.0;
// Part by which the base latency rises towards each slower answer, so that a
// service that became slower for good is followed.
constexpr double base_latency_rise_weight = 0.01;

milliseconds updated_base_latency(milliseconds base,
                                  milliseconds latency) noexcept
{
    if (base.count() <= 0.0 || latency < base)
    {
        return latency;
    }
    return base + (latency - base) * base_latency_rise_weight;
}

bool indicates_queueing(const concurrency_limit& limit,
                        const limit_observation& observation) noexcept
{
    if (observation.reported_queue_ >= 0)
    {
        return observation.reported_queue_ > 0;
    }
    return limit.base_latency_.count() > 0.0 &&
           observation.latency_ > limit.base_latency_ * queueing_latency_factor;
}

} // namespace

int calls_allowed(const concurrency_limit& limit) noexcept
{
    return std::max(1, static_cast<int>(limit.limit_));
}

concurrency_limit after_response(concurrency_limit limit,
                                 const limit_observation& observation,
                                 int slots) noexcept
{
    double next = limit.limit_;
    if (observation.was_refused_)
    {
        next *= decrease_on_refusal;
    }
    else if (indicates_queueing(limit, observation))
    {
        next *= decrease_on_queue;
    }
    else if (observation.was_at_limit_)
    {
        next += 1.0 / std::max(1.0, limit.limit_);
    }
    limit.limit_ = std::clamp(next, 1.0, std::max(1.0, double(slots)));
    if (!observation.was_refused_)
    {
        limit.base_latency_ =
            updated_base_latency(limit.base_latency_, observation.latency_);
    }
    return limit;
}

} // namespace anvilturn
