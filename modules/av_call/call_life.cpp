#include <av_call/call_life.hpp>

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
struct bytes_left_event
{
};
struct answer_started_event
{
};
struct verdict_event
{
    attempt_verdict verdict_;
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
struct answering_state : msm::front::state<>
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

// Commit point: of all competing threads, only one passes either guard.
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
        return machine.facts_.earlier_may_have_run_;
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
        return !machine.facts_.earlier_may_have_run_;
    }
};

template <attempt_verdict Verdict>
struct judged
{
    template <typename Machine, typename Source, typename Target>
    bool
    operator()(const verdict_event& event, Machine&, Source&, Target&) const
    {
        return event.verdict_ == Verdict;
    }
};

using judged_answered = judged<attempt_verdict::answered>;
using judged_retry = judged<attempt_verdict::retry_allowed>;
using judged_not_run = judged<attempt_verdict::not_run>;
using judged_unknown = judged<attempt_verdict::unknown>;

struct life_definition : msm::front::state_machine_def<life_definition>
{
    using initial_state = queued_state;

    // clang-format off
    struct transition_table : boost::mpl::vector<
        Row<queued_state, dispatch_event, dispatched_state, none, wins_dispatch>,
        Row<queued_state, refuse_event, not_run_state, none, wins_refusal>,
        Row<dispatched_state, bytes_left_event, sent_state>,
        Row<dispatched_state, verdict_event, retrying_state, none, judged_retry>,
        Row<dispatched_state, verdict_event, not_run_state, none, judged_not_run>,
        Row<dispatched_state, verdict_event, unknown_state, none, judged_unknown>,
        Row<sent_state, answer_started_event, answering_state>,
        Row<sent_state, verdict_event, answered_state, none, judged_answered>,
        Row<sent_state, verdict_event, retrying_state, none, judged_retry>,
        Row<sent_state, verdict_event, not_run_state, none, judged_not_run>,
        Row<sent_state, verdict_event, unknown_state, none, judged_unknown>,
        Row<answering_state, verdict_event, answered_state, none, judged_answered>,
        Row<answering_state, verdict_event, unknown_state, none, judged_unknown>,
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
        constexpr bool may_lose = std::is_same_v<Event, dispatch_event> ||
                                  std::is_same_v<Event, refuse_event>;
        assert(may_lose && "event not allowed in the current call phase");
        static_cast<void>(may_lose);
    }

    call_commit commit_;
    attempt_facts facts_;
};

using life_machine = msm::back::state_machine<life_definition>;

// Indexed by MSM state id. MSM numbers the states in the order of the
// transition table: first the source states, then the states that are only
// entered.
constexpr std::array<call_phase, 8> phases{call_phase::queued,
                                           call_phase::dispatched,
                                           call_phase::sent,
                                           call_phase::answering,
                                           call_phase::retrying,
                                           call_phase::not_run,
                                           call_phase::unknown,
                                           call_phase::answered};

} // namespace

struct call_life::machine
{
    life_machine machine_;
};

call_life::call_life()
    : machine_(std::make_unique<machine>())
{
    start(false);
}

call_life::~call_life() = default;

void call_life::start(bool idempotent)
{
    auto& machine = machine_->machine_;
    machine.commit_.reset();
    machine.facts_ = {};
    machine.facts_.idempotent_ = idempotent;
    machine.start();
}

bool call_life::dispatch()
{
    auto& machine = machine_->machine_;
    machine.facts_.bytes_may_have_left_ = false;
    return machine.process_event(dispatch_event()) == msm::back::HANDLED_TRUE;
}

bool call_life::refuse()
{
    return machine_->machine_.process_event(refuse_event()) ==
           msm::back::HANDLED_TRUE;
}

void call_life::record_bytes_left()
{
    auto& machine = machine_->machine_;
    if (!machine.facts_.bytes_may_have_left_)
    {
        machine.facts_.bytes_may_have_left_ = true;
        machine.process_event(bytes_left_event());
    }
}

void call_life::record_answer_started()
{
    auto& machine = machine_->machine_;
    if (!machine.facts_.answer_started_)
    {
        machine.facts_.answer_started_ = true;
        machine.process_event(answer_started_event());
    }
}

attempt_verdict call_life::end_attempt(const attempt_summary& result)
{
    auto& machine = machine_->machine_;
    auto& facts = machine.facts_;
    facts.target_refused_ = result.target_refused_;
    facts.answer_complete_ = result.answer_complete_;
    facts.replayable_ = result.replayable_;
    facts.deadline_left_ = result.deadline_left_;
    facts.budget_left_ = result.budget_left_;
    const auto verdict = judge_attempt(facts);
    machine.process_event(verdict_event{verdict});
    facts.earlier_may_have_run_ =
        facts.earlier_may_have_run_ || !is_proved_not_run(facts);
    return verdict;
}

call_phase call_life::phase() const
{
    return phases[static_cast<std::size_t>(
        machine_->machine_.current_state()[0])];
}

bool call_life::has_ended() const
{
    const auto now = phase();
    return now == call_phase::answered || now == call_phase::not_run ||
           now == call_phase::unknown;
}

} // namespace anvilturn
