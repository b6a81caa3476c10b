#include <av_daemon/graceful_stop.hpp>

#include <av_core/log_event.hpp>
#include <av_core/monotonic_clock.hpp>
#include <av_net/duration.hpp>

#include <boost/asio/post.hpp>

#include <utility>

namespace anvilturn
{
namespace
{

namespace asio = boost::asio;

// Interval at which operators' work is polled once all calls have ended.
constexpr milliseconds operator_work_poll_interval{50.0};

} // namespace

graceful_stop::graceful_stop(asio::io_context& context,
                             const shutdown_settings& settings,
                             stop_actions actions)
    : context_(context)
    , settings_(settings)
    , actions_(std::move(actions))
    , balancer_lag_timer_(context)
    , deadline_timer_(context)
    , operator_work_timer_(context)
{
}

graceful_stop::~graceful_stop()
{
    if (finish_thread_.joinable())
    {
        finish_thread_.join();
    }
}

void graceful_stop::request()
{
    step(shutdown_event::stop_requested);
}

shutdown_phase graceful_stop::phase() const
{
    return sequence_.phase();
}

int graceful_stop::exit_code() const
{
    return exit_code_;
}

void graceful_stop::step(shutdown_event event)
{
    for (const auto action : sequence_.step(event))
    {
        perform(action);
    }
    log_event(log_level::info, "shutdown_phase")
        .field("phase", name_of(sequence_.phase()))
        .write();
}

void graceful_stop::perform(shutdown_action action)
{
    switch (action)
    {
    case shutdown_action::fail_readiness:
        actions_.fail_readiness_(settings_.deadline_);
        return;
    case shutdown_action::leave_fleet:
        actions_.leave_fleet_();
        return;
    case shutdown_action::start_balancer_lag_timer:
        start_timer(balancer_lag_timer_,
                    settings_.balancer_lag_,
                    shutdown_event::balancer_lag_elapsed);
        return;
    case shutdown_action::start_deadline_timer:
        deadline_at_ = monotonic_now() + settings_.deadline_;
        start_timer(deadline_timer_,
                    settings_.deadline_,
                    shutdown_event::deadline_passed);
        return;
    case shutdown_action::stop_accepting:
        actions_.stop_accepting_();
        finish_calls();
        return;
    case shutdown_action::abandon_calls:
        exit_code_ = 1;
        return;
    case shutdown_action::exit_process:
        log_event(log_level::info, "vm_stopped")
            .field("exit_code", exit_code_)
            .write();
        actions_.exit_process_();
        return;
    }
}

void graceful_stop::finish_calls()
{
    finish_thread_ = std::thread(
        [this]
        {
            const bool all_completed =
                actions_.finish_calls_(deadline_at_ - monotonic_now());
            asio::post(context_,
                       [this, all_completed]
                       {
                           exit_code_ = all_completed ? 0 : 1;
                           await_operator_work();
                       });
        });
}

void graceful_stop::await_operator_work()
{
    if (!actions_.has_operator_work_())
    {
        step(shutdown_event::calls_ended);
        return;
    }
    operator_work_timer_.expires_after(
        to_duration(operator_work_poll_interval));
    operator_work_timer_.async_wait(
        [this](const boost::system::error_code& error)
        {
            if (!error)
            {
                await_operator_work();
            }
        });
}

void graceful_stop::start_timer(asio::steady_timer& timer,
                                milliseconds delay,
                                shutdown_event event)
{
    timer.expires_after(to_duration(delay));
    timer.async_wait(
        [this, event](const boost::system::error_code& error)
        {
            if (!error)
            {
                step(event);
            }
        });
}

} // namespace anvilturn
