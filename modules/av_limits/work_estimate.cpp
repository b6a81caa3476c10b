#include <av_limits/work_estimate.hpp>

#include <algorithm>

namespace anvilturn
{
namespace
{

// Minimum weight of one call in the moving average; until it applies, all calls
// weigh the same.
constexpr double min_sample_weight = 0.05;
// An estimate without a newer run is forgotten, so that a rule is tried again
// whose calls were all refused for it.
constexpr milliseconds estimate_lifetime(10000.0);

bool is_forgotten(const work_estimate& estimate, milliseconds now) noexcept
{
    return estimate.samples_ == 0 ||
           now - estimate.last_run_at_ > estimate_lifetime;
}

} // namespace

work_estimate after_run(work_estimate estimate,
                        double slowdown,
                        milliseconds duration,
                        milliseconds now) noexcept
{
    if (is_forgotten(estimate, now))
    {
        estimate = work_estimate();
    }
    const auto time = duration * (1.0 / std::max(1.0, slowdown));
    const double weight =
        std::max(min_sample_weight, 1.0 / (estimate.samples_ + 1.0));
    estimate.mean_ = estimate.mean_ + (time - estimate.mean_) * weight;
    ++estimate.samples_;
    estimate.last_run_at_ = now;
    return estimate;
}

milliseconds expected_work_time(const work_estimate& estimate,
                                milliseconds now) noexcept
{
    return is_forgotten(estimate, now) ? milliseconds(0.0) : estimate.mean_;
}

} // namespace anvilturn
