#ifndef AV_SHUTDOWN_SHUTDOWN_SEQUENCE_HPP
#define AV_SHUTDOWN_SHUTDOWN_SEQUENCE_HPP

#include <memory>
#include <string_view>
#include <vector>

namespace anvilturn
{

enum class shutdown_event
{
    // SIGTERM or SIGINT; a second one changes nothing.
    stop_requested,
    // The time is over in which the balancer may still send callers here.
    balancer_lag_elapsed,
    // The last call that runs has ended.
    calls_ended,
    // The time limit of the whole shutdown is over.
    deadline_passed
};

enum class shutdown_action
{
    // Answer the balancer's readiness check with "stopping".
    fail_readiness,
    // Tell the peers, give up leases, leave the member list.
    leave_fleet,
    start_balancer_lag_timer,
    start_deadline_timer,
    // Close the listeners and refuse queued calls as "not run".
    stop_accepting,
    // Report each call that still runs as "unknown".
    abandon_calls,
    exit_process
};

enum class shutdown_phase
{
    serving,
    // Unready, but callers still arrive and are served.
    announced,
    // No new connections; calls that run go on.
    finishing,
    stopped
};

// Returns the name that logs and dumps use.
std::string_view name_of(shutdown_phase phase) noexcept;

// Orders the steps of a graceful shutdown: first the readiness check fails and
// the peers are told, then callers are served for as long as the balancer may
// lag, then calls that run are finished, then the process exits. The caller
// performs the actions in the order given and feeds back what happened.
class shutdown_sequence
{
public:
    shutdown_sequence();
    ~shutdown_sequence();

    shutdown_sequence(const shutdown_sequence&) = delete;
    shutdown_sequence& operator=(const shutdown_sequence&) = delete;

    // Takes an event and returns what to do now. An event that has no meaning
    // in the phase returns nothing.
    std::vector<shutdown_action> step(shutdown_event event);

    shutdown_phase phase() const noexcept;

private:
    struct implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace anvilturn

#endif
