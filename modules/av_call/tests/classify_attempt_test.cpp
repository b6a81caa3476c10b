#include <av_call/classify_attempt.hpp>

#include <boost/test/unit_test.hpp>

#include <vector>

namespace anvilturn
{
namespace
{

constexpr unsigned fact_count = 9;

// Returns an attempt for which exactly the facts whose bits are set are true.
attempt_input facts_of(unsigned bits)
{
    const auto bit = [bits](unsigned number)
    {
        return (bits >> number & 1U) != 0;
    };
    attempt_input input;
    input.bytes_may_have_been_sent_ = bit(0);
    input.target_refused_ = bit(1);
    input.response_started_ = bit(2);
    input.response_complete_ = bit(3);
    input.idempotent_ = bit(4);
    input.earlier_may_have_run_ = bit(5);
    input.replayable_ = bit(6);
    input.is_before_deadline_ = bit(7);
    input.retry_budget_left_ = bit(8);
    return input;
}

// Returns all combinations of facts.
std::vector<attempt_input> all_facts()
{
    std::vector<attempt_input> result;
    for (unsigned bits = 0; bits < 1U << fact_count; ++bits)
    {
        result.push_back(facts_of(bits));
    }
    return result;
}

struct outcome_case
{
    const char* name_;
    attempt_input input_;
    attempt_outcome outcome_;
};

attempt_input unsent_and_retryable()
{
    attempt_input input;
    input.replayable_ = true;
    input.is_before_deadline_ = true;
    input.retry_budget_left_ = true;
    return input;
}

attempt_input
with_fact(attempt_input input, bool attempt_input::*fact, bool value)
{
    input.*fact = value;
    return input;
}

} // namespace

BOOST_AUTO_TEST_SUITE(attempt_classification_suite)

BOOST_AUTO_TEST_CASE(typical_attempts_have_the_expected_outcome)
{
    using input = attempt_input;
    const auto sent = with_fact(
        unsent_and_retryable(), &input::bytes_may_have_been_sent_, true);
    const auto refused = with_fact(sent, &input::target_refused_, true);
    const auto idempotent = with_fact(sent, &input::idempotent_, true);
    const std::vector<outcome_case> cases{
        {"connect failed",
         unsent_and_retryable(),
         attempt_outcome::retry_allowed},
        {"connect failed, no budget",
         with_fact(unsent_and_retryable(), &input::retry_budget_left_, false),
         attempt_outcome::not_run},
        {"connection lost after the request", sent, attempt_outcome::unknown},
        {"connection lost, idempotent",
         idempotent,
         attempt_outcome::retry_allowed},
        {"connection lost, idempotent, response started",
         with_fact(idempotent, &input::response_started_, true),
         attempt_outcome::unknown},
        {"connection lost, idempotent, body no longer buffered",
         with_fact(idempotent, &input::replayable_, false),
         attempt_outcome::unknown},
        {"refused after the body", refused, attempt_outcome::retry_allowed},
        {"refused, deadline passed",
         with_fact(refused, &input::is_before_deadline_, false),
         attempt_outcome::not_run},
        {"refused, after an attempt that may have run",
         with_fact(with_fact(refused, &input::retry_budget_left_, false),
                   &input::earlier_may_have_run_,
                   true),
         attempt_outcome::unknown},
        {"complete response",
         with_fact(sent, &input::response_complete_, true),
         attempt_outcome::answered},
    };
    for (const auto& one : cases)
    {
        BOOST_TEST_CONTEXT(one.name_)
        {
            BOOST_TEST((classify_attempt(one.input_) == one.outcome_));
        }
    }
}

BOOST_AUTO_TEST_CASE(not_run_requires_proof_for_every_attempt)
{
    for (const auto& input : all_facts())
    {
        if (classify_attempt(input) != attempt_outcome::not_run)
        {
            continue;
        }
        BOOST_TEST((!input.bytes_may_have_been_sent_ || input.target_refused_));
        BOOST_TEST(!input.earlier_may_have_run_);
        BOOST_TEST(!input.response_started_);
    }
}

BOOST_AUTO_TEST_CASE(non_idempotent_retry_requires_proof_of_not_run)
{
    for (const auto& input : all_facts())
    {
        if (classify_attempt(input) != attempt_outcome::retry_allowed)
        {
            continue;
        }
        const bool proven =
            !input.bytes_may_have_been_sent_ || input.target_refused_;
        BOOST_TEST((input.idempotent_ || proven));
        BOOST_TEST(input.is_before_deadline_);
        BOOST_TEST(input.retry_budget_left_);
        BOOST_TEST(input.replayable_);
        BOOST_TEST(!input.response_started_);
    }
}

BOOST_AUTO_TEST_CASE(
    answered_requires_a_complete_response_and_unknown_is_the_fallback)
{
    for (const auto& input : all_facts())
    {
        const auto outcome = classify_attempt(input);
        const bool complete =
            input.response_complete_ && !input.target_refused_;
        BOOST_TEST((outcome == attempt_outcome::answered) == complete);
        const bool proven =
            is_proven_not_run(input) && !input.earlier_may_have_run_;
        if (outcome == attempt_outcome::unknown)
        {
            BOOST_TEST((!proven || input.response_started_));
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace anvilturn
