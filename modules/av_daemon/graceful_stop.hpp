// Private to av_daemon.

#ifndef AV_DAEMON_GRACEFUL_STOP_HPP
#define AV_DAEMON_GRACEFUL_STOP_HPP

#include <av_core/milliseconds.hpp>
#include <av_settings/settings_sections.hpp>
#include <av_shutdown/shutdown_sequence.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <thread>

namespace anvilturn
{

// Callbacks by which a graceful stop controls the parts of the daemon. All but
// finish_calls_ are called on the thread of the io_context.
struct stop_actions
{
    // Fails readiness checks so that the balancer sends callers elsewhere;
    // callers that still arrive are served if they can be in the time left.
    std::function<void(milliseconds left)> fail_readiness_;
    std::function<void()> leave_fleet_;
    std::function<void()> stop_accepting_;
    // Waits for running calls to end, for at most the time left. Called on a
    // separate thread, so that operators' requests are still answered. Returns
    // whether every call ended by itself.
    std::function<bool(milliseconds left)> finish_calls_;
    // Returns whether operators' requests are in progress whose outcome must
    // still be returned to them.
    std::function<bool()> has_operator_work_;
    std::function<void()> exit_process_;
};

// Performs the actions of a shutdown_sequence and runs its timers.
class graceful_stop
{
public:
    graceful_stop(boost::asio::io_context& context,
                  const shutdown_settings& settings,
                  stop_actions actions);
    ~graceful_stop();
    graceful_stop(const graceful_stop&) = delete;
    graceful_stop& operator=(const graceful_stop&) = delete;

    // Begins the stop; has no effect if it has begun.
    void request();

    shutdown_phase phase() const;

    // The process's exit code: 1 if calls were abandoned, 0 otherwise.
    int exit_code() const;

private:
    void step(shutdown_event event);
    void perform(shutdown_action action);
    void finish_calls();
    void await_operator_work();
    void start_timer(boost::asio::steady_timer& timer,
                     milliseconds delay,
                     shutdown_event event);

    boost::asio::io_context& context_;
    const shutdown_settings settings_;
    const stop_actions actions_;
    boost::asio::steady_timer balancer_lag_timer_;
    boost::asio::steady_timer deadline_timer_;
    boost::asio::steady_timer operator_work_timer_;
    shutdown_sequence sequence_;
    milliseconds deadline_at_;
    std::thread finish_thread_;
    int exit_code_ = 0;
};

} // namespace anvilturn

#endif
