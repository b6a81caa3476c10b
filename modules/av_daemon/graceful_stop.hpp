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

// What a graceful stop does to the parts of the daemon. All but finish_calls_
// are called on the thread of the io_context.
struct stop_actions
{
    // Callers are told to go elsewhere; those that come are still served.
    std::function<void()> fail_readiness_;
    std::function<void()> leave_fleet_;
    std::function<void()> stop_accepting_;
    // Waits for the calls to end, at most for the time given; called on a
    // thread of its own, so that operators are still answered. Returns whether
    // all ended by themselves.
    std::function<bool(milliseconds left)> finish_calls_;
    // Whether operators' work is still under way, whose outcome they must
    // learn.
    std::function<bool()> has_operator_work_;
    std::function<void()> exit_process_;
};

// Carries out the steps of a shutdown_sequence with its timers.
class graceful_stop
{
public:
    graceful_stop(boost::asio::io_context& context,
                  const shutdown_settings& settings,
                  stop_actions actions);
    ~graceful_stop();
    graceful_stop(const graceful_stop&) = delete;
    graceful_stop& operator=(const graceful_stop&) = delete;

    // Begins the stop; nothing if it has begun.
    void request();

    shutdown_phase phase() const;

    // The process's exit code: 1 if calls were abandoned.
    int exit_code() const;

private:
    void step(shutdown_event event);
    void perform(shutdown_action action);
    void finish_calls();
    void await_operator_work();
    void after(boost::asio::steady_timer& timer,
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
