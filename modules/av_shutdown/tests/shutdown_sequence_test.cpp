#include <av_shutdown/shutdown_sequence.hpp>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <map>

using namespace anvilturn;

namespace
{

using action = shutdown_action;
using event = shutdown_event;

struct shutdown_case
{
    const char* name_;
    std::vector<event> events_;
    std::vector<action> actions_;
    shutdown_phase phase_;
};

const std::vector<action> announcement_actions = {
    action::fail_readiness,
    action::leave_fleet,
    action::start_balancer_lag_timer,
    action::start_deadline_timer};

std::vector<action> with_announcement_actions(std::vector<action> later_actions)
{
    later_actions.insert(later_actions.begin(),
                         announcement_actions.begin(),
                         announcement_actions.end());
    return later_actions;
}

} // namespace

BOOST_AUTO_TEST_SUITE(shutdown)

BOOST_AUTO_TEST_CASE(events_lead_to_expected_actions_and_phase)
{
    const std::vector<shutdown_case> cases = {
        {"events before a stop request have no effect",
         {event::calls_ended,
          event::balancer_lag_elapsed,
          event::deadline_passed},
         {},
         shutdown_phase::serving},
        {"complete sequence",
         {event::stop_requested,
          event::balancer_lag_elapsed,
          event::calls_ended},
         with_announcement_actions(
             {action::stop_accepting, action::exit_process}),
         shutdown_phase::stopped},
        {"second stop request has no effect",
         {event::stop_requested, event::stop_requested},
         announcement_actions,
         shutdown_phase::announced},
        {"all calls ended before the balancer lag elapsed",
         {event::stop_requested, event::calls_ended},
         announcement_actions,
         shutdown_phase::announced},
        {"calls still running at the deadline",
         {event::stop_requested,
          event::balancer_lag_elapsed,
          event::deadline_passed},
         with_announcement_actions({action::stop_accepting,
                                    action::abandon_calls,
                                    action::exit_process}),
         shutdown_phase::stopped},
        {"deadline shorter than the balancer lag",
         {event::stop_requested, event::deadline_passed},
         with_announcement_actions({action::stop_accepting,
                                    action::abandon_calls,
                                    action::exit_process}),
         shutdown_phase::stopped},
    };
    for (const auto& row : cases)
    {
        BOOST_TEST_CONTEXT(row.name_)
        {
            shutdown_sequence sequence;
            std::vector<action> actions;
            for (const auto next : row.events_)
            {
                for (const auto done : sequence.step(next))
                {
                    actions.push_back(done);
                }
            }
            BOOST_TEST((actions == row.actions_));
            BOOST_TEST((sequence.phase() == row.phase_));
        }
    }
}

RC_BOOST_PROP(exits_at_most_once_and_never_before_readiness_fails, ())
{
    const auto numbers =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 4));
    shutdown_sequence sequence;
    std::vector<action> actions;
    for (const int number : numbers)
    {
        for (const auto done : sequence.step(static_cast<event>(number)))
        {
            actions.push_back(done);
        }
    }
    const auto exits =
        std::count(actions.begin(), actions.end(), action::exit_process);
    RC_ASSERT(exits <= 1);
    // RC_ASSERT decomposes its expression, so || in it would not short-circuit.
    const bool readiness_first =
        actions.empty() || actions.front() == action::fail_readiness;
    RC_ASSERT(readiness_first);
    RC_ASSERT(std::count(
                  actions.begin(), actions.end(), action::stop_accepting) <= 1);
    RC_ASSERT((exits == 1) == (sequence.phase() == shutdown_phase::stopped));
}

BOOST_AUTO_TEST_SUITE_END()
