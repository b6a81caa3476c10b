#include <av_limits/work_estimate.hpp>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <vector>

using namespace anvilturn;

namespace
{

constexpr milliseconds now(1000.0);

work_estimate estimate_of(const std::vector<double>& times)
{
    work_estimate estimate;
    for (const double time : times)
    {
        estimate = after_run(estimate, 1.0, milliseconds(time), now);
    }
    return estimate;
}

} // namespace

BOOST_AUTO_TEST_SUITE(work_estimate_suite)

BOOST_AUTO_TEST_CASE(nothing_is_expected_before_the_first_run)
{
    BOOST_TEST((expected_work_time(work_estimate(), now) == milliseconds(0.0)));
}

BOOST_AUTO_TEST_CASE(expected_time_is_the_mean)
{
    BOOST_TEST(expected_work_time(estimate_of({100.0, 140.0}), now).count() ==
                   120.0,
               boost::test_tools::tolerance(1e-9));
}

BOOST_AUTO_TEST_CASE(reported_slowdown_is_divided_out)
{
    work_estimate estimate;
    for (int i = 0; i < 20; ++i)
    {
        estimate = after_run(estimate, 5.0, milliseconds(500.0), now);
    }
    BOOST_TEST(expected_work_time(estimate, now).count() == 100.0,
               boost::test_tools::tolerance(1e-9));
}

// Targets slow down without a report until most calls take nearly all of the
// time that their callers have. A call with a free slot is still tried, since
// it may be one of the shorter ones; otherwise the rule would never be measured
// again.
RC_BOOST_PROP(calls_that_may_end_in_time_are_not_ruled_out, ())
{
    const int time_limit = *rc::gen::inRange(2, 2000);
    const auto times =
        *rc::gen::nonEmpty(rc::gen::container<std::vector<double>>(
            rc::gen::cast<double>(rc::gen::inRange(1, time_limit))));
    RC_ASSERT(expected_work_time(estimate_of(times), now).count() < time_limit);
}

// All callers of the rule have less time than its calls took, so none is sent.
BOOST_AUTO_TEST_CASE(estimate_without_newer_runs_is_forgotten)
{
    auto estimate = estimate_of(std::vector<double>(50, 400.0));
    const auto later = now + milliseconds(10001.0);
    BOOST_TEST((expected_work_time(estimate, later) == milliseconds(0.0)));
    estimate = after_run(estimate, 1.0, milliseconds(50.0), later);
    BOOST_TEST((expected_work_time(estimate, later) == milliseconds(50.0)));
}

BOOST_AUTO_TEST_SUITE_END()
