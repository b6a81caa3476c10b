#include <av_daemon/bound_settings.hpp>

#include <boost/test/unit_test.hpp>

using namespace anvilturn;

BOOST_AUTO_TEST_SUITE(settings_within_bounds)

BOOST_AUTO_TEST_CASE(without_bounds_the_settings_hold)
{
    const service_section services;
    const shutdown_settings shutdown;
    BOOST_TEST((within_bounds(services) == services));
    BOOST_TEST((within_bounds(shutdown) == shutdown));
}

BOOST_AUTO_TEST_CASE(extra_attempts_stay_below_the_platforms_ratio)
{
    for (const double ratio : {0.01, 0.1, 0.2, 0.5})
    {
        service_section section;
        section.fleet_retry_ratio_ = ratio;
        const auto bound = within_bounds(section);
        BOOST_TEST(bound.retry_ratio_ < ratio);
        BOOST_TEST(bound.retry_ratio_ > ratio * 0.5);
    }
}

// The process must exit by itself before the platform kills it, and leave time
// for the balancer to stop sending callers and for their calls to end.
BOOST_AUTO_TEST_CASE(the_vm_has_left_before_the_grace_ends)
{
    for (const double seconds : {1.0, 2.0, 4.0, 6.0, 30.0})
    {
        shutdown_settings section;
        section.balancer_lag_ = milliseconds(3000.0);
        section.killed_after_s_ = seconds;
        const auto bound = within_bounds(section);
        BOOST_TEST((bound.deadline_ < milliseconds(seconds * 1000.0)));
        BOOST_TEST((bound.balancer_lag_ < bound.deadline_));
        BOOST_TEST((bound.balancer_lag_ <= section.balancer_lag_));
    }
}

BOOST_AUTO_TEST_SUITE_END()
