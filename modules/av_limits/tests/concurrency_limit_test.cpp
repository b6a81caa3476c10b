#include <av_limits/concurrency_limit.hpp>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace anvilturn;

BOOST_AUTO_TEST_SUITE(concurrency_limit_suite)

RC_BOOST_PROP(limit_stays_between_one_and_the_slots, ())
{
    const int slots = *rc::gen::inRange(1, 12);
    concurrency_limit limit;
    limit.limit_ = slots;
    for (int step = 0; step < 50; ++step)
    {
        limit_observation seen;
        seen.latency_ = milliseconds(*rc::gen::inRange(1, 100));
        seen.reported_queue_ = *rc::gen::inRange(-1, 4);
        seen.was_at_limit_ = *rc::gen::arbitrary<bool>();
        seen.was_refused_ = *rc::gen::arbitrary<bool>();
        limit = after_response(limit, seen, slots);
        RC_ASSERT(calls_allowed(limit) >= 1);
        RC_ASSERT(calls_allowed(limit) <= slots);
    }
}

// A target that says 6 slots but runs only 2 at once: the limit settles near
// what it really runs.
BOOST_AUTO_TEST_CASE(limit_converges_to_the_actual_concurrency_of_the_target)
{
    constexpr int real_slots = 2;
    concurrency_limit limit;
    double sum = 0.0;
    constexpr int answers = 2000;
    for (int i = 0; i < answers; ++i)
    {
        const int sent = calls_allowed(limit);
        limit_observation seen;
        seen.latency_ = milliseconds(10.0);
        seen.reported_queue_ = sent > real_slots ? sent - real_slots : 0;
        seen.was_at_limit_ = true;
        limit = after_response(limit, seen, 6);
        sum += sent;
    }
    BOOST_TEST(sum / answers > 1.5);
    BOOST_TEST(sum / answers < 3.5);
}

BOOST_AUTO_TEST_CASE(slow_responses_lower_the_limit_without_reports)
{
    concurrency_limit limit;
    limit = after_response(limit, {milliseconds(10.0), -1, true, false}, 6);
    const double before = limit.limit_;
    limit = after_response(limit, {milliseconds(50.0), -1, true, false}, 6);
    BOOST_TEST(limit.limit_ < before);
}

BOOST_AUTO_TEST_CASE(refusal_halves_the_limit_and_leaves_the_base_latency)
{
    concurrency_limit limit;
    limit.base_latency_ = milliseconds(10.0);
    limit = after_response(limit, {milliseconds(0.1), -1, true, true}, 6);
    BOOST_TEST(limit.limit_ == 3.0);
    BOOST_TEST((limit.base_latency_ == milliseconds(10.0)));
}

BOOST_AUTO_TEST_CASE(an_unused_limit_does_not_grow)
{
    concurrency_limit limit;
    limit.limit_ = 2.0;
    limit = after_response(limit, {milliseconds(10.0), 0, false, false}, 6);
    BOOST_TEST(limit.limit_ == 2.0);
}

BOOST_AUTO_TEST_SUITE_END()
