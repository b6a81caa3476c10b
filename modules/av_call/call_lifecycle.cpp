#include <av_call/call_lifecycle.hpp>

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include <array>
#include <cassert>
#include <type_traits>

namespace anvilturn
{
namespace
{

namespace msm = boost::msm;
using msm::front::none;
using msm::front::Row;

struct dispatch_event
{
};
struct refuse_event
{
};
struct bytes_sent_event
{
};
struct response_started_event
{
};
struct attempt_ended_event
{
    attempt_outcome outcome_;
};

struct queued_state : msm::front::state<>
{
};
struct dispatched_state : msm::front::state<>
{
};
struct sent_state : msm::front::state<>
{
};
struct responding_state : msm::front::state<>
{
};
struct retrying_state : msm::front::state<>
{
};
struct answered_state : msm::front::state<>
{
};
struct not_run_state : msm::front::state<>
{
};
struct unknown_state : msm::front::state<>
{
};

// Guards of the decision between dispatch and refusal: of all competing
// threads, only one passes one of the two. See call_commit.
struct wins_dispatch
{
    template <typename Event,
              typename Machine,
              typename Source,
              typename Target>
    bool operator()(const Event&, Machine& machine, Source&, Target&) const
    {
        return machine.commit_.try_dispatch();
    }
};

struct wins_refusal
{
    template <typename Event,
              typename Machine,
              typename Source,
              typename Target>
    bool operator()(const Event&, Machine& machine, Source&, Target&) const
    {
        return machine.commit_.try_refuse();
    }
};

struct may_have_run
{
    template <typename Event,
              typename Machine,
              typename Source,
              typename Target>
    bool operator()(const Event&, Machine& machine, Source&, Target&) const
    {
        return machine.input_.earlier_may_have_run_;
    }
};

struct never_ran
{
    template <typename Event,
              typename Machine,
              typename Source,
              typename Target>
    bool operator()(const Event&, Machine& machine, Source&, Target&) const
    {
        return !machine.input_.earlier_may_have_run_;
    }
};

template <attempt_outcome Outcome>
struct outcome_is
{
    template <typename Machine, typename Source, typename Target>
    bool operator()(const attempt_ended_event& event,
                    Machine&,
                    Source&,
                    Target&) const
    {
        return event.outcome_ == Outcome;
    }
};

using is_answered = outcome_is<attempt_outcome::answered>;
using is_retry_allowed = outcome_is<attempt_outcome::retry_allowed>;
using is_not_run = outcome_is<attempt_outcome::not_run>;
using is_unknown = outcome_is<attempt_outcome::unknown>;

struct lifecycle_definition
    : msm::front::state_machine_def<lifecycle_definition>
{
    using initial_state = queued_state;

    // clang-format off
    struct transition_table : boost::mpl::vector<
        Row<queued_state, dispatch_event, dispatched_state, none, wins_dispatch>,
        Row<queued_state, refuse_event, not_run_state, none, wins_refusal>,
        Row<dispatched_state, bytes_sent_event, sent_state>,
        Row<dispatched_state, attempt_ended_event, retrying_state, none, is_retry_allowed>,
        Row<dispatched_state, attempt_ended_event, not_run_state, none, is_not_run>,
        Row<dispatched_state, attempt_ended_event, unknown_state, none, is_unknown>,
        Row<sent_state, response_started_event, responding_state>,
        Row<sent_state, attempt_ended_event, answered_state, none, is_answered>,
        Row<sent_state, attempt_ended_event, retrying_state, none, is_retry_allowed>,
        Row<sent_state, attempt_ended_event, not_run_state, none, is_not_run>,
        Row<sent_state, attempt_ended_event, unknown_state, none, is_unknown>,
        Row<responding_state, attempt_ended_event, answered_state, none, is_answered>,
        Row<responding_state, attempt_ended_event, unknown_state, none, is_unknown>,
        Row<retrying_state, dispatch_event, dispatched_state>,
        Row<retrying_state, refuse_event, not_run_state, none, never_ran>,
        Row<retrying_state, refuse_event, unknown_state, none, may_have_run>
    > {};
    // clang-format on

    // A dispatch or a refusal may arrive after the other was decided and is
    // then ignored. Any other event that does not fit the phase is a defect.
    template <typename Machine, typename Event>
    void no_transition(const Event&, Machine&, int)
    {
        constexpr bool may_be_late = std::is_same_v<Event, dispatch_event> ||
                                     std::is_same_v<Event, refuse_event>;
        assert(may_be_late && "event not allowed in the current call phase");
        static_cast<void>(may_be_late);
    }

    call_commit commit_;
    attempt_input input_;
};

using lifecycle_machine = msm::back::state_machine<lifecycle_definition>;

// Indexed by MSM state id. MSM numbers the states in the order of the
// transition table: first the source states, then the states that are only
// entered.
constexpr std::array<call_phase, 8> phases{call_phase::queued,
                                           call_phase::dispatched,
                                           call_phase::sent,
                                           call_phase::responding,
                                           call_phase::retrying,
                                           call_phase::not_run,
                                           call_phase::unknown,
                                           call_phase::answered};

} // namespace

struct call_lifecycle::machine
{
    lifecycle_machine machine_;
};

call_lifecycle::call_lifecycle()
    : machine_(std::make_unique<machine>())
{
    start(false);
}

call_lifecycle::~call_lifecycle() = default;

void call_lifecycle::start(bool idempotent)
{
    auto& machine = machine_->machine_;
    machine.commit_.reset();
    machine.input_ = {};
    machine.input_.idempotent_ = idempotent;
    machine.start();
}

bool call_lifecycle::dispatch()
{
    auto& machine = machine_->machine_;
    machine.input_.bytes_may_have_been_sent_ = false;
    return machine.process_event(dispatch_event()) == msm::back::HANDLED_TRUE;
}

bool call_lifecycle::refuse()
{
    return machine_->machine_.process_event(refuse_event()) ==
           msm::back::HANDLED_TRUE;
}

void call_lifecycle::record_bytes_sent()
{
    auto& machine = machine_->machine_;
    if (!machine.input_.bytes_may_have_been_sent_)
    {
        machine.input_.bytes_may_have_been_sent_ = true;
        machine.process_event(bytes_sent_event());
    }
}

void call_lifecycle::record_parallel_run()
{
    machine_->machine_.input_.earlier_may_have_run_ = true;
}

void call_lifecycle::record_response_started()
{
    auto& machine = machine_->machine_;
    if (!machine.input_.response_started_)
    {
        machine.input_.response_started_ = true;
        machine.process_event(response_started_event());
    }
}

attempt_outcome call_lifecycle::end_attempt(const attempt_summary& result)
{
    auto& machine = machine_->machine_;
    auto& input = machine.input_;
    input.target_refused_ = result.target_refused_;
    input.response_complete_ = result.response_complete_;
    input.replayable_ = result.replayable_;
    input.is_before_deadline_ = result.is_before_deadline_;
    input.retry_budget_left_ = result.retry_budget_left_;
    const auto outcome = classify_attempt(input);
    machine.process_event(attempt_ended_event{outcome});
    input.earlier_may_have_run_ =
        input.earlier_may_have_run_ || !is_proven_not_run(input);
    return outcome;
}

call_phase call_lifecycle::phase() const
{
    return phases[static_cast<std::size_t>(
        machine_->machine_.current_state()[0])];
}

bool call_lifecycle::has_ended() const
{
    const auto now = phase();
    return now == call_phase::answered || now == call_phase::not_run ||
           now == call_phase::unknown;
}

} // namespace anvilturn
