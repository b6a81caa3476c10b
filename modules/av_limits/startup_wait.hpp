#ifndef AV_LIMITS_STARTUP_WAIT_HPP
#define AV_LIMITS_STARTUP_WAIT_HPP

#include <av_core/milliseconds.hpp>

namespace anvilturn
{

// Input that determines how long a call stays pending at a VM that awaits its
// configuration. Points in time are of the monotonic clock.
struct startup_wait_input
{
    // When the VM started.
    milliseconds started_at_;
    milliseconds arrived_;
    milliseconds deadline_;
};

// Returns the time until which the call stays pending for the VM to become
// ready; the time of its arrival if it does not wait. After many VMs restart
// together, a caller that is refused reaches other VMs that are not ready
// either, and has spent one of its few retries, whereas a VM that has just
// started gets its configuration within a fraction of a second. A VM that has
// been without it for longer refuses at once.
milliseconds startup_wait_deadline(const startup_wait_input& input) noexcept;

} // namespace anvilturn

#endif
