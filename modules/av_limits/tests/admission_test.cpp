#include <av_limits/admission.hpp>
#include <av_limits/latency_quantile.hpp>
#include <av_routing/random_bits.hpp>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace anvilturn;

BOOST_AUTO_TEST_SUITE(admission_suite)

namespace
{

drain_rate rate_with_interval(double interval_ms)
{
    drain_rate rate;
    for (int i = 0; i < 50; ++i)
    {
        rate = after_dequeue(rate, 3, milliseconds(i * interval_ms));
    }
    return rate;
}

} // namespace

BOOST_AUTO_TEST_CASE(expected_wait_is_calls_ahead_times_interval)
{
    const auto rate = rate_with_interval(2.0);
    BOOST_TEST(expected_wait(rate, 10).count() == 20.0,
               boost::test_tools::tolerance(1e-9));
}

BOOST_AUTO_TEST_CASE(interval_is_not_updated_while_no_call_waits)
{
    auto rate = rate_with_interval(2.0);
    rate = after_dequeue(rate, 0, milliseconds(100.0));
    rate = after_dequeue(rate, 5, milliseconds(60000.0));
    BOOST_TEST(rate.mean_interval_.count() == 2.0,
               boost::test_tools::tolerance(1e-9));
}

struct admission_case
{
    const char* name_;
    admission_input decision_input_;
    bool accepted_;
};

BOOST_AUTO_TEST_CASE(admission_table)
{
    const auto rate = rate_with_interval(2.0);
    const milliseconds p95(50.0);
    const admission_case cases[] = {
        {"enough time", {10, milliseconds(80.0), p95}, true},
        {"the call alone takes too long", {0, milliseconds(50.0), p95}, false},
        {"the calls ahead take too long", {20, milliseconds(80.0), p95}, false},
        {"no calls ahead", {0, milliseconds(50.1), p95}, true},
        {"no time left", {0, milliseconds(0.0), milliseconds(0.0)}, false},
    };
    for (const auto& row : cases)
    {
        BOOST_TEST_CONTEXT(row.name_)
        {
            BOOST_TEST(can_meet_deadline(rate, row.decision_input_) ==
                       row.accepted_);
        }
    }
}

// Without a measured rate only the deadline itself can cause a refusal.
BOOST_AUTO_TEST_CASE(calls_are_accepted_before_the_first_dequeue)
{
    BOOST_TEST(can_meet_deadline(drain_rate{}, {100, milliseconds(1.0), {}}));
}

// A call is refused only once it could not be answered before its deadline.
RC_BOOST_PROP(latest_start_leaves_the_work_time_before_the_deadline, ())
{
    const milliseconds deadline(*rc::gen::inRange(0, 20000));
    const milliseconds work_time(*rc::gen::inRange(0, 5000));
    const auto start = latest_start(deadline, work_time);
    RC_ASSERT(start + work_time == deadline);
}

RC_BOOST_PROP(estimate_converges_to_the_quantile, ())
{
    const int scale = *rc::gen::inRange(1, 100);
    latency_quantile estimate;
    int below = 0;
    constexpr int warm_up = 1000;
    constexpr int samples = 4000;
    for (int i = 0; i < warm_up + samples; ++i)
    {
        const double sample =
            scale * unit_interval(mix_bits(static_cast<std::uint64_t>(i)));
        estimate = after_sample(estimate, milliseconds(sample));
        below += i >= warm_up && sample <= estimate.value_.count() ? 1 : 0;
    }
    RC_ASSERT(below > samples * 92 / 100);
    RC_ASSERT(below < samples * 98 / 100);
}

BOOST_AUTO_TEST_SUITE_END()
