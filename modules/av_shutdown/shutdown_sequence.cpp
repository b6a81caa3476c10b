#include <av_shutdown/shutdown_sequence.hpp>

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include <utility>

namespace anvilturn
{
namespace
{

namespace msm = boost::msm;
namespace mpl = boost::mpl;
using msm::front::none;
using msm::front::Row;

// Events of the state machine.
struct stop_requested
{
};
struct balancer_lag_elapsed
{
};
struct calls_ended
{
};
struct deadline_passed
{
};

// States of the state machine.
struct serving : msm::front::state<>
{
};
struct announced : msm::front::state<>
{
};
struct finishing : msm::front::state<>
{
};
struct stopped : msm::front::state<>
{
};

// Transition action that appends to the list returned by step.
template <shutdown_action... Actions>
struct perform
{
    template <typename Event, typename Machine, typename Source, typename Next>
    void operator()(const Event&, Machine& machine, Source&, Next&) const
    {
        (machine.actions_.push_back(Actions), ...);
    }
};

using action = shutdown_action;

struct machine_definition : msm::front::state_machine_def<machine_definition>
{
    using initial_state = serving;

    using announce = perform<action::fail_readiness,
                             action::leave_fleet,
                             action::start_balancer_lag_timer,
                             action::start_deadline_timer>;
    using stop_and_abandon = perform<action::stop_accepting,
                                     action::abandon_calls,
                                     action::exit_process>;
    using abandon_running_calls =
        perform<action::abandon_calls, action::exit_process>;

    // clang-format off
    struct transition_table : mpl::vector<
        Row<serving,   stop_requested,       announced, announce,                        none>,
        Row<announced, balancer_lag_elapsed, finishing, perform<action::stop_accepting>, none>,
        Row<announced, deadline_passed,      stopped,   stop_and_abandon,                none>,
        Row<finishing, calls_ended,          stopped,   perform<action::exit_process>,   none>,
        Row<finishing, deadline_passed,      stopped,   abandon_running_calls,           none>>
    {
    };
    // clang-format on

    template <typename Machine, typename Event>
    void no_transition(const Event&, Machine&, int)
    {
    }

    std::vector<shutdown_action> actions_;
};

using machine = msm::back::state_machine<machine_definition>;

} // namespace

struct shutdown_sequence::implementation
{
    machine machine_;
};

std::string_view name_of(shutdown_phase phase) noexcept
{
    switch (phase)
    {
    case shutdown_phase::serving:
        return "serving";
    case shutdown_phase::announced:
        return "announced";
    case shutdown_phase::finishing:
        return "finishing";
    case shutdown_phase::stopped:
        break;
    }
    return "stopped";
}

shutdown_sequence::shutdown_sequence()
    : implementation_(std::make_unique<implementation>())
{
    implementation_->machine_.start();
}

shutdown_sequence::~shutdown_sequence() = default;

std::vector<shutdown_action> shutdown_sequence::step(shutdown_event event)
{
    auto& machine = implementation_->machine_;
    switch (event)
    {
    case shutdown_event::stop_requested:
        machine.process_event(stop_requested{});
        break;
    case shutdown_event::balancer_lag_elapsed:
        machine.process_event(balancer_lag_elapsed{});
        break;
    case shutdown_event::calls_ended:
        machine.process_event(calls_ended{});
        break;
    case shutdown_event::deadline_passed:
        machine.process_event(deadline_passed{});
        break;
    }
    return std::exchange(machine.actions_, {});
}

shutdown_phase shutdown_sequence::phase() const noexcept
{
    // Boost.MSM numbers the states in their order in the transition table,
    // which is that of shutdown_phase.
    return static_cast<shutdown_phase>(
        implementation_->machine_.current_state()[0]);
}

} // namespace anvilturn
