// Properties of the acceptance of notes by several operators whose steps
// interleave, with random faults of the store.

#include "acceptance_fixture.hpp"

#include <rapidcheck/boost_test.h>

#include <array>
#include <string>
#include <vector>

using namespace anvilturn;

namespace
{

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

BOOST_AUTO_TEST_SUITE(acceptance_races)

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

BOOST_AUTO_TEST_SUITE_END()
