#include <av_daemon/platform_bounds.hpp>

#include <boost/test/unit_test.hpp>

using namespace anvilturn;

BOOST_AUTO_TEST_SUITE(platform_bounds_suite)

BOOST_AUTO_TEST_CASE(settings_without_platform_bounds_are_unchanged)
{
    const service_settings services;
    const shutdown_settings shutdown;
    BOOST_TEST((apply_platform_bounds(services) == services));
    BOOST_TEST((apply_platform_bounds(shutdown) == shutdown));
}

BOOST_AUTO_TEST_CASE(retry_ratio_stays_below_the_platform_ratio)
{
    for (const double ratio : {0.01, 0.1, 0.2, 0.5})
    {
        service_settings section;
        section.fleet_retry_ratio_ = ratio;
        const auto bound = apply_platform_bounds(section);
        BOOST_TEST(bound.retry_ratio_ < ratio);
        BOOST_TEST(bound.retry_ratio_ > ratio * 0.5);
    }
}

// The process must be gone by itself before it is killed, after a time in which
// the balancer stops sending callers and their calls end.
BOOST_AUTO_TEST_CASE(shutdown_deadline_lies_before_the_forced_kill)
{
    for (const double seconds : {1.0, 2.0, 4.0, 6.0, 30.0})
    {
        shutdown_settings section;
        section.balancer_lag_ = milliseconds(3000.0);
        section.killed_after_s_ = seconds;
        const auto bound = apply_platform_bounds(section);
        BOOST_TEST((bound.deadline_ < milliseconds(seconds * 1000.0)));
        BOOST_TEST((bound.balancer_lag_ < bound.deadline_));
        BOOST_TEST((bound.balancer_lag_ <= section.balancer_lag_));
    }
}

BOOST_AUTO_TEST_SUITE_END()
