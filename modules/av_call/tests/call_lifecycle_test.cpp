#include <av_call/call_lifecycle.hpp>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <array>
#include <atomic>
#include <thread>
#include <vector>

namespace anvilturn
{
namespace
{

attempt_summary connection_lost(bool retry)
{
    attempt_summary result;
    result.replayable_ = retry;
    result.is_before_deadline_ = retry;
    result.retry_budget_left_ = retry;
    return result;
}

attempt_summary refused_by_target(bool retry)
{
    auto result = connection_lost(retry);
    result.target_refused_ = true;
    return result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(call_lifecycle_suite)

BOOST_AUTO_TEST_CASE(complete_response_ends_the_call_as_answered)
{
    call_lifecycle lifecycle;
    lifecycle.start(false);
    BOOST_TEST((lifecycle.phase() == call_phase::queued));
    BOOST_TEST(lifecycle.dispatch());
    BOOST_TEST((lifecycle.phase() == call_phase::dispatched));
    lifecycle.record_bytes_sent();
    BOOST_TEST((lifecycle.phase() == call_phase::sent));
    lifecycle.record_response_started();
    BOOST_TEST((lifecycle.phase() == call_phase::responding));
    attempt_summary complete;
    complete.response_complete_ = true;
    lifecycle.end_attempt(complete);
    BOOST_TEST((lifecycle.phase() == call_phase::answered));
    BOOST_TEST(lifecycle.has_ended());
}

BOOST_AUTO_TEST_CASE(refused_call_is_not_dispatched_nor_dispatched_call_refused)
{
    call_lifecycle lifecycle;
    BOOST_TEST(lifecycle.refuse());
    BOOST_TEST((lifecycle.phase() == call_phase::not_run));
    BOOST_TEST(!lifecycle.dispatch());
    BOOST_TEST((lifecycle.phase() == call_phase::not_run));
    lifecycle.start(false);
    BOOST_TEST(lifecycle.dispatch());
    BOOST_TEST(!lifecycle.refuse());
    BOOST_TEST((lifecycle.phase() == call_phase::dispatched));
}

BOOST_AUTO_TEST_CASE(refusal_after_an_attempt_that_may_have_run_is_unknown)
{
    call_lifecycle lifecycle;
    lifecycle.start(true);
    lifecycle.dispatch();
    lifecycle.record_bytes_sent();
    lifecycle.end_attempt(connection_lost(true));
    BOOST_TEST((lifecycle.phase() == call_phase::retrying));
    BOOST_TEST(lifecycle.refuse());
    BOOST_TEST((lifecycle.phase() == call_phase::unknown));
}

BOOST_AUTO_TEST_CASE(refusal_after_attempts_proven_not_run_is_not_run)
{
    call_lifecycle lifecycle;
    lifecycle.start(false);
    lifecycle.dispatch();
    lifecycle.record_bytes_sent();
    lifecycle.end_attempt(refused_by_target(true));
    BOOST_TEST(lifecycle.refuse());
    BOOST_TEST((lifecycle.phase() == call_phase::not_run));
}

// For any sequence of attempts, a call ends as not_run if and only if none of
// its attempts may have run, and a call that is not idempotent has at most one
// attempt that may have run.
RC_BOOST_PROP(outcome_matches_the_attempts_that_may_have_run, ())
{
    call_lifecycle lifecycle;
    const bool idempotent = *rc::gen::arbitrary<bool>();
    lifecycle.start(idempotent);
    int may_have_run = 0;
    while (!lifecycle.has_ended())
    {
        if (*rc::gen::inRange(0, 6) == 0)
        {
            lifecycle.refuse();
            break;
        }
        RC_ASSERT(lifecycle.dispatch());
        const bool sent = *rc::gen::arbitrary<bool>();
        if (sent)
        {
            lifecycle.record_bytes_sent();
        }
        const bool refuses = sent && *rc::gen::arbitrary<bool>();
        may_have_run += sent && !refuses ? 1 : 0;
        const bool retry = *rc::gen::inRange(0, 4) != 0;
        lifecycle.end_attempt(refuses ? refused_by_target(retry)
                                      : connection_lost(retry));
    }
    RC_ASSERT((lifecycle.phase() == call_phase::not_run) ==
              (may_have_run == 0));
    RC_ASSERT(idempotent || may_have_run <= 1);
}

// A deadline, a cancellation and a free slot compete for the same calls on
// three threads.
BOOST_AUTO_TEST_CASE(racing_threads_make_exactly_one_decision)
{
    constexpr std::size_t call_count = 20000;
    std::vector<call_commit> calls(call_count);
    std::array<std::vector<char>, 3> won;
    std::atomic<int> at_start{0};
    std::vector<std::thread> threads;
    for (std::size_t number = 0; number < won.size(); ++number)
    {
        won[number].resize(call_count);
        threads.emplace_back(
            [&, number]
            {
                ++at_start;
                while (at_start.load() < 3)
                {
                }
                for (std::size_t i = 0; i < call_count; ++i)
                {
                    won[number][i] = number == 0 ? calls[i].try_dispatch()
                                                 : calls[i].try_refuse();
                }
            });
    }
    for (auto& thread : threads)
    {
        thread.join();
    }
    std::size_t wrong = 0;
    for (std::size_t i = 0; i < call_count; ++i)
    {
        const int winners = won[0][i] + won[1][i] + won[2][i];
        const auto expected =
            won[0][i] != 0 ? commit_state::dispatched : commit_state::refused;
        wrong += winners == 1 && calls[i].state() == expected ? 0 : 1;
    }
    BOOST_TEST(wrong == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace anvilturn
