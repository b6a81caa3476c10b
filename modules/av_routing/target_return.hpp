#ifndef AV_ROUTING_TARGET_RETURN_HPP
#define AV_ROUTING_TARGET_RETURN_HPP

#include <av_core/comparison.hpp>
#include <av_core/milliseconds.hpp>

#include <tuple>

namespace anvilturn
{

// Health check results of a target that is marked as draining, used to detect
// that it has returned to service.
struct target_return
{
    // Consecutive checks that were good.
    int good_checks_ = 0;
    milliseconds first_good_at_{0.0};

    // Returns all members, for comparison.
    auto tie() const
    {
        return std::tie(good_checks_, first_good_at_);
    }
};

// Returns the state after one health check that was sent at the given time. A
// check is good if the target reports that it is healthy and not draining.
target_return after_health_check(const target_return& state,
                                 bool good,
                                 milliseconds sent_at) noexcept;

// Returns whether the target had returned to service when the last check was
// sent. Health endpoints lag and
// give wrong results, so several good checks over some time are required. A
// target that is draining after all shows it with its first response.
bool has_returned(const target_return& state, milliseconds sent_at) noexcept;

} // namespace anvilturn

#endif
