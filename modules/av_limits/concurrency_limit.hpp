#ifndef AV_LIMITS_CONCURRENCY_LIMIT_HPP
#define AV_LIMITS_CONCURRENCY_LIMIT_HPP

#include <av_core/milliseconds.hpp>

namespace anvilturn
{

// Adaptive limit of the calls that one VM has in flight at one target. Used
// where this VM is not the service's dispatcher VM, and where a target runs
// fewer calls at once than the slots it declares.
struct concurrency_limit
{
    // Between 1 and the target's slots.
    double limit_ = 6.0;
    // Baseline latency of a call without queueing: the shortest seen, rising
    // slowly; zero before the first response.
    milliseconds base_latency_{0.0};
};

// What one response shows about the target.
struct limit_observation
{
    milliseconds latency_{0.0};
    // Calls queued at the target by its load report; negative without a report.
    int reported_queue_ = -1;
    // Whether this VM had as many calls there as the limit allows.
    bool was_at_limit_ = false;
    // Whether the target refused the call because it was full.
    bool was_refused_ = false;
};

// Returns the limit as a whole number of calls, at least 1.
int calls_allowed(const concurrency_limit& limit) noexcept;

// Returns the limit after a response (additive increase, multiplicative
// decrease): it grows by one call for each limit's worth of responses while the
// target shows no queue and the limit is in use, and shrinks by a factor when
// the target queues, refuses or has become slow.
concurrency_limit after_response(concurrency_limit limit,
                                 const limit_observation& observation,
                                 int slots) noexcept;

} // namespace anvilturn

#endif
