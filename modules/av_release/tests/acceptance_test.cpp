#include "release_fixture.hpp"

#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <array>
#include <deque>
#include <string>
#include <vector>

using namespace anvilturn;

namespace
{

// Fault that the fake store injects into one call.
enum class store_fault
{
    none,
    // Fails without effect.
    down,
    // Takes effect, but the response is lost.
    response_lost,
    // A write takes effect only later, and the response is lost.
    late,
    // A read returns an earlier version.
    stale
};

// A store of one object with conditional writes, injected faults and delayed
// writes.
class fake_store
{
public:
    explicit fake_store(const release& first)
        : heads_({{1, write_release(first)}})
    {
    }

    head_read read(store_fault fault) const
    {
        if (fault == store_fault::down)
        {
            return {make_error(error_kind::platform_unreachable, "down")};
        }
        if (fault == store_fault::response_lost || fault == store_fault::late)
        {
            return {
                make_error(error_kind::platform_unreachable, "no response")};
        }
        const std::size_t age = fault == store_fault::stale ? 2 : 1;
        return {std::optional(
            heads_[heads_.size() - std::min(age, heads_.size())])};
    }

    head_written write(const write_head& action, store_fault fault)
    {
        if (fault == store_fault::down)
        {
            return {make_error(error_kind::platform_unreachable, "down")};
        }
        if (fault == store_fault::late)
        {
            late_writes_.push_back(action);
            return {make_error(error_kind::platform_answer_lost, "late")};
        }
        const bool is_written = try_write(action);
        if (fault == store_fault::response_lost)
        {
            return {make_error(error_kind::platform_answer_lost, "lost")};
        }
        if (!is_written)
        {
            return {make_error(error_kind::version_mismatch, "moved")};
        }
        return {heads_.back().version_};
    }

    // Applies the oldest delayed write, if its condition still holds.
    void apply_late_write()
    {
        if (!late_writes_.empty())
        {
            try_write(late_writes_.front());
            late_writes_.pop_front();
        }
    }

    void apply_all_late_writes()
    {
        while (!late_writes_.empty())
        {
            apply_late_write();
        }
    }

    release current() const
    {
        return parse_release(heads_.back().text_, "store").value();
    }

    // Whether each head either has the same release as the head before or a
    // release version higher by one.
    bool is_version_history_valid() const
    {
        release before = parse_release(heads_.front().text_, "store").value();
        for (const release_head& head : heads_)
        {
            const release after = parse_release(head.text_, "store").value();
            const bool is_fence = after == before;
            if (!is_fence && after.version_ != before.version_ + 1)
            {
                return false;
            }
            before = after;
        }
        return true;
    }

private:
    bool try_write(const write_head& action)
    {
        if (action.expected_ != heads_.back().version_)
        {
            return false;
        }
        heads_.push_back({action.expected_ + 1, action.text_});
        return true;
    }

    std::vector<release_head> heads_;
    std::deque<write_head> late_writes_;
};

// One acceptance or settlement, run step by step against the store.
class operator_attempt
{
public:
    explicit operator_attempt(acceptance_step first)
        : step_(std::move(first))
    {
    }

    bool is_finished() const
    {
        return std::holds_alternative<finish_acceptance>(step_.action_);
    }

    const finish_acceptance& result() const
    {
        return std::get<finish_acceptance>(step_.action_);
    }

    // Carries out one action, which takes 10 ms besides its delay.
    void advance(fake_store& store, store_fault fault)
    {
        acceptance_event event = head_read{std::optional<release_head>()};
        if (const auto* read = std::get_if<read_head>(&step_.action_))
        {
            now_ = now_ + read->delay_;
            event = store.read(fault);
        }
        else
        {
            event = store.write(std::get<write_head>(step_.action_), fault);
        }
        now_ = now_ + milliseconds(10.0);
        step_ = step_acceptance(step_.state_, event, now_);
    }

    void run(fake_store& store)
    {
        while (!is_finished())
        {
            advance(store, store_fault::none);
        }
    }

private:
    acceptance_step step_;
    milliseconds now_{0.0};
};

operator_attempt accept(const release_note& note,
                        release_version min_version = 0)
{
    return operator_attempt(start_acceptance(note,
                                             min_version,
                                             test_limits(),
                                             acceptance_limits(),
                                             milliseconds(0.0)));
}

operator_attempt settle(const std::string& id)
{
    return operator_attempt(start_settlement(
        id, 0, test_limits(), acceptance_limits(), milliseconds(0.0)));
}

release_note drain_note(const std::string& id, const std::string& target)
{
    return release_note_builder(id, 1)
        .change_target(change_of(target, "draining", "true"))
        .build()
        .value();
}

// Generates the random numbers of one run: each selects the attempt to advance,
// the fault of the store, and whether a late write takes effect. Their number
// is fixed, so that the run is bounded: after the last one the store has no
// more faults.
rc::Gen<std::vector<int>> any_schedule()
{
    return rc::gen::noShrink(rc::gen::container<std::vector<int>>(
        120, rc::gen::resize(100, rc::gen::inRange(0, 10'000))));
}

store_fault random_fault(int random_number)
{
    constexpr std::array<store_fault, 13> faults = {store_fault::none,
                                                    store_fault::none,
                                                    store_fault::none,
                                                    store_fault::none,
                                                    store_fault::none,
                                                    store_fault::none,
                                                    store_fault::down,
                                                    store_fault::response_lost,
                                                    store_fault::response_lost,
                                                    store_fault::late,
                                                    store_fault::late,
                                                    store_fault::stale,
                                                    store_fault::stale};
    return faults[static_cast<std::size_t>(random_number) % faults.size()];
}

// Advances the attempts in random order until all are finished, with random
// faults and with late writes applied at random steps.
void run_interleaved(std::vector<operator_attempt>& attempts,
                     fake_store& store,
                     const std::vector<int>& schedule,
                     bool has_faults)
{
    std::vector<operator_attempt*> unfinished;
    for (operator_attempt& attempt : attempts)
    {
        unfinished.push_back(&attempt);
    }
    for (std::size_t i = 0; !unfinished.empty(); ++i)
    {
        const int random_number = i < schedule.size() ? schedule[i] : 0;
        const auto index =
            static_cast<std::size_t>(random_number) / 13 % unfinished.size();
        unfinished[index]->advance(store,
                                   has_faults ? random_fault(random_number)
                                              : store_fault::none);
        if (unfinished[index]->is_finished())
        {
            unfinished.erase(unfinished.begin() +
                             static_cast<std::ptrdiff_t>(index));
        }
        if (random_number % 4 == 1)
        {
            store.apply_late_write();
        }
    }
}

// Checks the result reported to an operator against the store.
void check_reported_outcome(const finish_acceptance& result,
                            const std::string& id,
                            const fake_store& store)
{
    const auto version = find_note(store.current(), id);
    if (result.outcome_ == acceptance_outcome::accepted)
    {
        RC_ASSERT(version.has_value());
        RC_ASSERT(*version == result.version_);
        RC_ASSERT(result.newest_.version_ >= result.version_);
    }
    if (result.outcome_ == acceptance_outcome::not_accepted)
    {
        RC_ASSERT(!version.has_value());
    }
    RC_ASSERT((result.outcome_ == acceptance_outcome::accepted) ==
              result.status_.ok());
}

// Checks the results of two operators that both sent the note "d". The result
// not_accepted covers only the writes of its own attempt, so the note must be
// absent only if both have it.
void check_outcomes_of_shared_note(const finish_acceptance& a,
                                   const finish_acceptance& b,
                                   const fake_store& store)
{
    const auto refused = acceptance_outcome::not_accepted;
    if (a.outcome_ != refused)
    {
        check_reported_outcome(a, "d", store);
    }
    if (b.outcome_ != refused)
    {
        check_reported_outcome(b, "d", store);
    }
    if (a.outcome_ == refused && b.outcome_ == refused)
    {
        RC_ASSERT(!find_note(store.current(), "d").has_value());
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(acceptance_tests)

RC_BOOST_PROP(reported_outcomes_hold_under_races_and_faults, ())
{
    fake_store store(first_release());
    // Two conflicting notes, an independent one, and one sent by two operators.
    const std::vector<std::string> ids = {"a", "b", "c", "d", "d"};
    const std::vector<std::string> targets = {"t1", "t1", "t2", "", ""};
    std::vector<operator_attempt> attempts;
    for (std::size_t i = 0; i < ids.size(); ++i)
    {
        attempts.push_back(accept(targets[i].empty()
                                      ? release_note_builder(ids[i], 1)
                                            .add(make_target("t3", "s", 3))
                                            .build()
                                            .value()
                                      : drain_note(ids[i], targets[i])));
    }
    run_interleaved(attempts, store, *any_schedule(), true);
    store.apply_all_late_writes();
    for (std::size_t i = 0; i < 3; ++i)
    {
        check_reported_outcome(attempts[i].result(), ids[i], store);
    }
    check_outcomes_of_shared_note(
        attempts[3].result(), attempts[4].result(), store);
    RC_ASSERT(store.is_version_history_valid());
    const release end = store.current();
    RC_ASSERT(!(find_note(end, "a") && find_note(end, "b")));
    RC_ASSERT(end.version_ == end.recent_notes_.size());
}

RC_BOOST_PROP(settled_outcome_is_final_despite_late_writes, ())
{
    fake_store store(first_release());
    std::vector<operator_attempt> attempts = {accept(drain_note("a", "t1"))};
    run_interleaved(attempts, store, *any_schedule(), true);
    std::vector<operator_attempt> settlements = {settle("a"), settle("a")};
    run_interleaved(settlements, store, *any_schedule(), true);
    store.apply_all_late_writes();
    for (const operator_attempt& settlement : settlements)
    {
        check_reported_outcome(settlement.result(), "a", store);
    }
    RC_ASSERT(store.is_version_history_valid());
}

RC_BOOST_PROP(without_faults_one_of_two_conflicting_notes_is_accepted, ())
{
    fake_store store(first_release());
    std::vector<operator_attempt> attempts = {accept(drain_note("a", "t1")),
                                              accept(drain_note("b", "t1")),
                                              accept(drain_note("c", "t2"))};
    run_interleaved(attempts, store, *any_schedule(), false);
    const auto is_accepted = [&attempts](std::size_t index)
    {
        return attempts[index].result().outcome_ ==
               acceptance_outcome::accepted;
    };
    RC_ASSERT(is_accepted(0) != is_accepted(1));
    RC_ASSERT(is_accepted(2));
    const auto& loser = attempts[is_accepted(0) ? 1 : 0].result();
    RC_ASSERT(kind_of(loser.status_) == error_kind::release_conflict);
    RC_ASSERT(mentions(loser.status_, "target/t1 in version"));
    RC_ASSERT(store.current().version_ == 3u);
}

BOOST_AUTO_TEST_CASE(fault_sequences_end_with_the_expected_outcome)
{
    using fault = store_fault;
    const auto accepted = acceptance_outcome::accepted;
    const auto not_accepted = acceptance_outcome::not_accepted;
    const auto unknown = acceptance_outcome::unknown;
    struct fault_case
    {
        std::string name_;
        // Faults of the first calls; the later calls have none.
        std::vector<store_fault> faults_;
        bool applies_late_writes_;
        acceptance_outcome outcome_;
    };
    const std::vector<fault_case> cases = {
        {"none", {}, false, accepted},
        {"first read fails", {fault::down}, false, accepted},
        {"write fails without effect",
         {fault::none, fault::down},
         false,
         accepted},
        {"response lost after the effect",
         {fault::none, fault::response_lost},
         false,
         accepted},
        {"response lost, then a stale read",
         {fault::none, fault::response_lost, fault::stale},
         false,
         accepted},
        {"response lost, then stale reads around the fence",
         {fault::none,
          fault::response_lost,
          fault::stale,
          fault::stale,
          fault::none,
          fault::stale},
         false,
         accepted},
        {"write that never takes effect is fenced",
         {fault::none, fault::late},
         false,
         not_accepted},
        {"write that arrives after the fence",
         {fault::none, fault::late},
         true,
         not_accepted},
        {"response to the fence is lost as well",
         {fault::none,
          fault::late,
          fault::none,
          fault::none,
          fault::response_lost},
         true,
         accepted},
        {"store permanently down",
         std::vector(20, fault::down),
         false,
         not_accepted},
        {"response lost, then store permanently down",
         {fault::none,
          fault::response_lost,
          fault::down,
          fault::down,
          fault::down,
          fault::down,
          fault::down,
          fault::down,
          fault::down},
         false,
         unknown}};
    for (const fault_case& row : cases)
    {
        BOOST_TEST_CONTEXT(row.name_)
        {
            fake_store store(first_release());
            auto attempt = accept(drain_note("a", "t1"));
            for (std::size_t i = 0;
                 i < row.faults_.size() && !attempt.is_finished();
                 ++i)
            {
                attempt.advance(store, row.faults_[i]);
            }
            attempt.run(store);
            if (row.applies_late_writes_)
            {
                store.apply_all_late_writes();
            }
            BOOST_TEST((attempt.result().outcome_ == row.outcome_),
                       name_of(attempt.result().outcome_));
            const bool is_in = find_note(store.current(), "a").has_value();
            BOOST_TEST((is_in || row.outcome_ != accepted));
            BOOST_TEST((!is_in || row.outcome_ != not_accepted));
        }
    }
}

BOOST_AUTO_TEST_CASE(an_unknown_outcome_names_the_command_that_settles_it)
{
    fake_store store(first_release());
    auto attempt = accept(drain_note("a", "t1"));
    attempt.advance(store, store_fault::none);
    attempt.advance(store, store_fault::response_lost);
    while (!attempt.is_finished())
    {
        attempt.advance(store, store_fault::down);
    }
    const absl::Status status = attempt.result().status_;
    BOOST_TEST((kind_of(status) == error_kind::release_outcome_unknown));
    BOOST_TEST(mentions(status, "anvilturnctl release settle a"));
    auto settlement = settle("a");
    settlement.run(store);
    BOOST_TEST((settlement.result().outcome_ == acceptance_outcome::accepted));
    BOOST_TEST(settlement.result().version_ == 2u);
}

BOOST_AUTO_TEST_CASE(the_same_note_twice_is_accepted_once)
{
    fake_store store(first_release());
    for (int i = 0; i < 2; ++i)
    {
        auto attempt = accept(drain_note("a", "t1"));
        attempt.run(store);
        BOOST_TEST((attempt.result().outcome_ == acceptance_outcome::accepted));
        BOOST_TEST(attempt.result().version_ == 2u);
    }
    BOOST_TEST(store.current().version_ == 2u);
}

BOOST_AUTO_TEST_CASE(settling_an_unknown_note_names_the_history)
{
    fake_store store(first_release());
    auto settlement = settle("never");
    settlement.run(store);
    BOOST_TEST(
        (settlement.result().outcome_ == acceptance_outcome::not_accepted));
    BOOST_TEST(mentions(settlement.result().status_, "up to version 1"));
    BOOST_TEST(store.current().version_ == 1u);
}

BOOST_AUTO_TEST_CASE(note_is_not_applied_to_a_stale_head)
{
    fake_store store(first_release());
    auto attempt = accept(drain_note("a", "t1"), 2);
    attempt.run(store);
    BOOST_TEST((attempt.result().outcome_ == acceptance_outcome::not_accepted));
    BOOST_TEST(mentions(attempt.result().status_, "older than version 2"));
    BOOST_TEST(store.current().version_ == 1u);
}

BOOST_AUTO_TEST_CASE(paused_attempt_does_not_write_past_its_time_limit)
{
    const auto step = start_acceptance(drain_note("a", "t1"),
                                       0,
                                       test_limits(),
                                       acceptance_limits(),
                                       milliseconds(0.0));
    const auto after =
        step_acceptance(step.state_,
                        fake_store(first_release()).read(store_fault::none),
                        acceptance_limits().time_limit_);
    BOOST_TEST_REQUIRE(
        std::holds_alternative<finish_acceptance>(after.action_));
    BOOST_TEST((std::get<finish_acceptance>(after.action_).outcome_ ==
                acceptance_outcome::not_accepted));
}

BOOST_AUTO_TEST_CASE(the_first_note_creates_the_head)
{
    const auto note =
        release_note_builder("first", 0).add(make_service("s")).build();
    auto step = start_acceptance(
        *note, 0, test_limits(), acceptance_limits(), milliseconds(0.0));
    step = step_acceptance(step.state_,
                           head_read{std::optional<release_head>()},
                           milliseconds(1.0));
    const auto* write = std::get_if<write_head>(&step.action_);
    BOOST_TEST_REQUIRE(write != nullptr);
    BOOST_TEST(write->expected_ == 0u);
    BOOST_TEST(parse_release(write->text_, "test")->version_ == 1u);
}

BOOST_AUTO_TEST_SUITE_END()
