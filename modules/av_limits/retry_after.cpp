#include <av_limits/retry_after.hpp>

#include <algorithm>

namespace anvilturn
{
namespace
{

// Callers wait for at most a third of the time that they have left.
constexpr double max_retry_after_share = 1.0 / 3.0;
constexpr double min_share_of_expected_wait = 0.5;

milliseconds longest_retry_after(milliseconds time_left) noexcept
{
    return time_left * max_retry_after_share;
}

} // namespace

milliseconds retry_after_delay(const retry_after_input& input) noexcept
{
    const auto longest = longest_retry_after(input.time_left_);
    const auto wait = std::min(input.expected_wait_.value_or(longest), longest);
    const double share = min_share_of_expected_wait +
                         (1.0 - min_share_of_expected_wait) * input.random_;
    return std::max(immediate_retry_after, wait * share);
}

milliseconds shed_retry_after_delay(milliseconds time_left,
                                    milliseconds work_time,
                                    double random) noexcept
{
    const auto delay = immediate_retry_after + work_time * random;
    return std::max(immediate_retry_after,
                    std::min(delay, longest_retry_after(time_left)));
}

} // namespace anvilturn
