#include <av_limits/concurrency_limit.hpp>

#include <algorithm>

namespace anvilturn
{

namespace
{

constexpr double decrease_on_refusal = 0.5;
constexpr double decrease_on_queue = 0.9;
// A latency above the base latency by this factor counts as queueing.
constexpr double queueing_latency_factor = 3.0;
// Fraction by which the base latency moves towards each slower response, so
// that it follows a service that has become slower for good.
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
    double next_limit = limit.limit_;
    if (observation.was_refused_)
    {
        next_limit *= decrease_on_refusal;
    }
    else if (indicates_queueing(limit, observation))
    {
        next_limit *= decrease_on_queue;
    }
    else if (observation.was_at_limit_)
    {
        next_limit += 1.0 / std::max(1.0, limit.limit_);
    }
    limit.limit_ = std::clamp(next_limit, 1.0, std::max(1.0, double(slots)));
    if (!observation.was_refused_)
    {
        limit.base_latency_ =
            updated_base_latency(limit.base_latency_, observation.latency_);
    }
    return limit;
}

} // namespace anvilturn
