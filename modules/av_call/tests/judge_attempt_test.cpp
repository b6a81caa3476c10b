#include <av_call/judge_attempt.hpp>

#include <boost/test/unit_test.hpp>

#include <vector>

namespace anvilturn
{
namespace
{

constexpr unsigned fact_count = 9;

// Returns the facts whose bits are set.
attempt_facts facts_of(unsigned bits)
{
    const auto bit = [bits](unsigned number)
    {
        return (bits >> number & 1U) != 0;
    };
    attempt_facts facts;
    facts.bytes_may_have_left_ = bit(0);
    facts.target_refused_ = bit(1);
    facts.answer_started_ = bit(2);
    facts.answer_complete_ = bit(3);
    facts.idempotent_ = bit(4);
    facts.earlier_may_have_run_ = bit(5);
    facts.replayable_ = bit(6);
    facts.deadline_left_ = bit(7);
    facts.budget_left_ = bit(8);
    return facts;
}

// Returns all combinations of facts.
std::vector<attempt_facts> all_facts()
{
    std::vector<attempt_facts> result;
    for (unsigned bits = 0; bits < 1U << fact_count; ++bits)
    {
        result.push_back(facts_of(bits));
    }
    return result;
}

struct named_case
{
    const char* name_;
    attempt_facts facts_;
    attempt_verdict verdict_;
};

attempt_facts healthy()
{
    attempt_facts facts;
    facts.replayable_ = true;
    facts.deadline_left_ = true;
    facts.budget_left_ = true;
    return facts;
}

attempt_facts with(attempt_facts facts, bool attempt_facts::*fact, bool value)
{
    facts.*fact = value;
    return facts;
}

} // namespace

BOOST_AUTO_TEST_SUITE(judging_attempts)

BOOST_AUTO_TEST_CASE(named_cases)
{
    using facts = attempt_facts;
    const auto sent = with(healthy(), &facts::bytes_may_have_left_, true);
    const auto refused = with(sent, &facts::target_refused_, true);
    const auto repeatable = with(sent, &facts::idempotent_, true);
    const std::vector<named_case> cases{
        {"connect failed", healthy(), attempt_verdict::retry_allowed},
        {"connect failed, no budget",
         with(healthy(), &facts::budget_left_, false),
         attempt_verdict::not_run},
        {"connection lost after the request", sent, attempt_verdict::unknown},
        {"connection lost, idempotent",
         repeatable,
         attempt_verdict::retry_allowed},
        {"connection lost, idempotent, response started",
         with(repeatable, &facts::answer_started_, true),
         attempt_verdict::unknown},
        {"connection lost, idempotent, body no longer buffered",
         with(repeatable, &facts::replayable_, false),
         attempt_verdict::unknown},
        {"refused after the body", refused, attempt_verdict::retry_allowed},
        {"refused, deadline passed",
         with(refused, &facts::deadline_left_, false),
         attempt_verdict::not_run},
        {"refused, after an attempt that may have run",
         with(with(refused, &facts::budget_left_, false),
              &facts::earlier_may_have_run_,
              true),
         attempt_verdict::unknown},
        {"complete response",
         with(sent, &facts::answer_complete_, true),
         attempt_verdict::answered},
    };
    for (const auto& one : cases)
    {
        BOOST_TEST_CONTEXT(one.name_)
        {
            BOOST_TEST((judge_attempt(one.facts_) == one.verdict_));
        }
    }
}

BOOST_AUTO_TEST_CASE(not_run_is_said_only_if_every_attempt_is_proved)
{
    for (const auto& facts : all_facts())
    {
        if (judge_attempt(facts) != attempt_verdict::not_run)
        {
            continue;
        }
        BOOST_TEST((!facts.bytes_may_have_left_ || facts.target_refused_));
        BOOST_TEST(!facts.earlier_may_have_run_);
        BOOST_TEST(!facts.answer_started_);
    }
}

BOOST_AUTO_TEST_CASE(second_attempt_of_others_only_if_first_is_proved_not_run)
{
    for (const auto& facts : all_facts())
    {
        if (judge_attempt(facts) != attempt_verdict::retry_allowed)
        {
            continue;
        }
        const bool proved =
            !facts.bytes_may_have_left_ || facts.target_refused_;
        BOOST_TEST((facts.idempotent_ || proved));
        BOOST_TEST(facts.deadline_left_);
        BOOST_TEST(facts.budget_left_);
        BOOST_TEST(facts.replayable_);
        BOOST_TEST(!facts.answer_started_);
    }
}

BOOST_AUTO_TEST_CASE(answered_means_a_whole_answer_and_unknown_is_last)
{
    for (const auto& facts : all_facts())
    {
        const auto verdict = judge_attempt(facts);
        const bool whole = facts.answer_complete_ && !facts.target_refused_;
        BOOST_TEST((verdict == attempt_verdict::answered) == whole);
        const bool proved =
            is_proved_not_run(facts) && !facts.earlier_may_have_run_;
        if (verdict == attempt_verdict::unknown)
        {
            BOOST_TEST((!proved || facts.answer_started_));
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace anvilturn
