#include <av_limits/work_estimate.hpp>
#include <av_routing/random_bits.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <vector>

using namespace anvilturn;

namespace
{

work_estimate estimate_of(const std::vector<double>& times)
{
    work_estimate estimate;
    for (const double time : times)
    {
        estimate = after_run(estimate, 1.0, milliseconds(time));
    }
    return estimate;
}

} // namespace

BOOST_AUTO_TEST_SUITE(work_estimate_suite)

BOOST_AUTO_TEST_CASE(nothing_is_expected_before_the_first_run)
{
    BOOST_TEST((likely_work_time(work_estimate()) == milliseconds(0.0)));
}

BOOST_AUTO_TEST_CASE(constant_times_are_expected_without_margin)
{
    const auto estimate = estimate_of(std::vector<double>(50, 120.0));
    BOOST_TEST(likely_work_time(estimate).count() == 120.0,
               boost::test_tools::tolerance(1e-9));
}

BOOST_AUTO_TEST_CASE(reported_slowdown_is_divided_out)
{
    work_estimate estimate;
    for (int i = 0; i < 20; ++i)
    {
        estimate = after_run(estimate, 5.0, milliseconds(500.0));
    }
    BOOST_TEST(likely_work_time(estimate).count() == 100.0,
               boost::test_tools::tolerance(1e-9));
}

BOOST_AUTO_TEST_CASE(most_calls_end_within_the_likely_time)
{
    work_estimate estimate;
    int within = 0;
    constexpr int warm_up = 100;
    constexpr int samples = 4000;
    for (int i = 0; i < warm_up + samples; ++i)
    {
        // The sum of three uniform times, from 50 to 200 ms.
        double time = 50.0;
        for (int part = 0; part < 3; ++part)
        {
            const auto number = static_cast<std::uint64_t>(i) * 3U +
                                static_cast<std::uint64_t>(part);
            time += 50.0 * unit_interval(mix_bits(number));
        }
        const bool is_within = time <= likely_work_time(estimate).count();
        within += i >= warm_up && is_within ? 1 : 0;
        estimate = after_run(estimate, 1.0, milliseconds(time));
    }
    BOOST_TEST(within > samples * 90 / 100);
    BOOST_TEST(within < samples * 99 / 100);
}

BOOST_AUTO_TEST_SUITE_END()
