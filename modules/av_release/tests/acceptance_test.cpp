#include "acceptance_fixture.hpp"

#include <string>
#include <vector>

using namespace anvilturn;

BOOST_AUTO_TEST_SUITE(acceptance_tests)

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
