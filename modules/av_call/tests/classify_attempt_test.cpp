#include <av_call/classify_attempt.hpp>

#include <boost/test/unit_test.hpp>

#include <vector>

namespace anvilturn
{
namespace
{

constexpr unsigned fact_count = 9;

// Returns the combination of facts that the bits name.
attempt_facts facts_of(unsigned bits)
{
    const auto bit = [bits](unsigned number)
    {
        return (bits >> number & 1U) != 0;
    };
    attempt_facts facts;
    facts.bytes_may_have_been_sent_ = bit(0);
    facts.target_refused_ = bit(1);
    facts.response_started_ = bit(2);
    facts.response_complete_ = bit(3);
    facts.idempotent_ = bit(4);
    facts.earlier_may_have_run_ = bit(5);
    facts.replayable_ = bit(6);
    facts.deadline_left_ = bit(7);
    facts.retry_budget_left_ = bit(8);
    return facts;
}

// Returns all combinations.
std::vector<attempt_facts> all_facts()
{
    std::vector<attempt_facts> result;
    for (unsigned bits = 0; bits < 1U << fact_count; ++bits)
    {
        result.push_back(facts_of(bits));
    }
    return result;
}

struct outcome_case
{
    const char* name_;
    attempt_facts facts_;
    attempt_outcome verdict_;
};

attempt_facts healthy()
{
    attempt_facts facts;
    facts.replayable_ = true;
    facts.deadline_left_ = true;
    facts.retry_budget_left_ = true;
    return facts;
}

attempt_facts with(attempt_facts facts, bool attempt_facts::*fact, bool value)
{
    facts.*fact = value;
    return facts;
}

} // namespace

BOOST_AUTO_TEST_SUITE(attempt_classification_suite)

BOOST_AUTO_TEST_CASE(typical_attempts_have_the_expected_outcome)
{
    using facts = attempt_facts;
    const auto sent = with(healthy(), &facts::bytes_may_have_been_sent_, true);
    const auto refused = with(sent, &facts::target_refused_, true);
    const auto repeatable = with(sent, &facts::idempotent_, true);
    const std::vector<outcome_case> cases{
        {"connect failed", healthy(), attempt_outcome::retry_allowed},
        {"connect failed, no budget",
         with(healthy(), &facts::retry_budget_left_, false),
         attempt_outcome::not_run},
        {"connection lost after the request", sent, attempt_outcome::unknown},
        {"the same, idempotent", repeatable, attempt_outcome::retry_allowed},
        {"the same, answer begun",
         with(repeatable, &facts::response_started_, true),
         attempt_outcome::unknown},
        {"the same, body given away",
         with(repeatable, &facts::replayable_, false),
         attempt_outcome::unknown},
        {"refused after the body", refused, attempt_outcome::retry_allowed},
        {"refused, too late",
         with(refused, &facts::deadline_left_, false),
         attempt_outcome::not_run},
        {"refused, after an attempt that may have run",
         with(with(refused, &facts::retry_budget_left_, false),
              &facts::earlier_may_have_run_,
              true),
         attempt_outcome::unknown},
        {"whole answer",
         with(sent, &facts::response_complete_, true),
         attempt_outcome::answered},
    };
    for (const auto& one : cases)
    {
        BOOST_TEST_CONTEXT(one.name_)
        {
            BOOST_TEST((classify_attempt(one.facts_) == one.verdict_));
        }
    }
}

BOOST_AUTO_TEST_CASE(not_run_requires_proof_for_every_attempt)
{
    for (const auto& facts : all_facts())
    {
        if (classify_attempt(facts) != attempt_outcome::not_run)
        {
            continue;
        }
        BOOST_TEST((!facts.bytes_may_have_been_sent_ || facts.target_refused_));
        BOOST_TEST(!facts.earlier_may_have_run_);
        BOOST_TEST(!facts.response_started_);
    }
}

BOOST_AUTO_TEST_CASE(non_idempotent_retry_requires_proof_of_not_run)
{
    for (const auto& facts : all_facts())
    {
        if (classify_attempt(facts) != attempt_outcome::retry_allowed)
        {
            continue;
        }
        const bool proved =
            !facts.bytes_may_have_been_sent_ || facts.target_refused_;
        BOOST_TEST((facts.idempotent_ || proved));
        BOOST_TEST(facts.deadline_left_);
        BOOST_TEST(facts.retry_budget_left_);
        BOOST_TEST(facts.replayable_);
        BOOST_TEST(!facts.response_started_);
    }
}

BOOST_AUTO_TEST_CASE(
    answered_requires_a_complete_response_and_unknown_is_the_fallback)
{
    for (const auto& facts : all_facts())
    {
        const auto verdict = classify_attempt(facts);
        const bool whole = facts.response_complete_ && !facts.target_refused_;
        BOOST_TEST((verdict == attempt_outcome::answered) == whole);
        const bool proved =
            is_proven_not_run(facts) && !facts.earlier_may_have_run_;
        if (verdict == attempt_outcome::unknown)
        {
            BOOST_TEST((!proved || facts.response_started_));
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace anvilturn
