#ifndef AV_LIMITS_STARTUP_WAIT_HPP
#define AV_LIMITS_STARTUP_WAIT_HPP

#include <av_core/milliseconds.hpp>

namespace anvilturn
{

// What decides how long a call waits at a VM that does not know yet what to
// serve. Points in time are of the monotonic clock.
struct startup_wait_input
{
    // When the VM started.
    milliseconds started_at_;
    milliseconds arrived_;
    milliseconds deadline_;
};

// Returns the point until which the call waits for the VM to get ready; the
// point of its arrival if it does not. After a restart of many VMs callers that
// are refused find other VMs that are not ready either, and have spent one of
// their few retries; a VM that just started knows within a fraction of a second
// what to serve. One that has not learned it for longer refuses at once.
milliseconds startup_wait_deadline(const startup_wait_input& facts) noexcept;

} // namespace anvilturn

#endif
