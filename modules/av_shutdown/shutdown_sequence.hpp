#ifndef AV_SHUTDOWN_SHUTDOWN_SEQUENCE_HPP
#define AV_SHUTDOWN_SHUTDOWN_SEQUENCE_HPP

#include <memory>
#include <string_view>
#include <vector>

namespace anvilturn
{

enum class shutdown_event
{
    // SIGTERM or SIGINT arrived; a second one has no effect.
    stop_requested,
    // The time during which the balancer may still send callers here is over.
    balancer_lag_elapsed,
    // The last running call has ended.
    calls_ended,
    // The time limit of the entire shutdown is over.
    deadline_passed
};

enum class shutdown_action
{
    // Answer the balancer's readiness check with "stopping".
    fail_readiness,
    // Notify the peers, relinquish leases and leave the member list.
    leave_fleet,
    start_balancer_lag_timer,
    start_deadline_timer,
    // Close the listeners and refuse queued calls with the outcome "not run".
    stop_accepting,
    // End each call that still runs with the outcome "unknown".
    abandon_calls,
    exit_process
};

enum class shutdown_phase
{
    serving,
    // Not ready, but callers that still arrive are served.
    announced,
    // No new connections; running calls continue.
    finishing,
    stopped
};

// Returns the name used in logs and state dumps.
std::string_view name_of(shutdown_phase phase) noexcept;

// Determines the steps of a graceful shutdown. First the readiness check fails
// and the peers are notified; then callers are served for as long as the
// balancer may lag; then running calls are finished; then the process exits.
// The user of this class performs the actions in the order given and reports
// events.
class shutdown_sequence
{
public:
    shutdown_sequence();
    ~shutdown_sequence();

    shutdown_sequence(const shutdown_sequence&) = delete;
    shutdown_sequence& operator=(const shutdown_sequence&) = delete;

    // Processes an event and returns the actions to perform. The list is empty
    // if the event has no effect in the current phase.
    std::vector<shutdown_action> step(shutdown_event event);

    shutdown_phase phase() const noexcept;

private:
    struct implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace anvilturn

#endif
