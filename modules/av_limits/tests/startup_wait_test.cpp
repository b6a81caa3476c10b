#include <av_limits/startup_wait.hpp>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace anvilturn;

namespace
{

startup_wait_input make_input(double started, double arrived, double deadline)
{
    return {
        milliseconds(started), milliseconds(arrived), milliseconds(deadline)};
}

} // namespace

BOOST_AUTO_TEST_SUITE(startup_wait_suite)

// All VMs restart at once, and callers with few retries call meanwhile.
BOOST_AUTO_TEST_CASE(calls_wait_for_a_vm_that_just_started)
{
    const auto until =
        startup_wait_deadline(make_input(1000.0, 1100.0, 4100.0));
    BOOST_TEST(until.count() == 2100.0, boost::test_tools::tolerance(1e-9));
}

// The VM may have its configuration up to the end of its startup period, and a
// caller with much time left gains nothing from an earlier refusal.
BOOST_AUTO_TEST_CASE(caller_with_much_time_waits_for_the_startup_period)
{
    BOOST_TEST((startup_wait_deadline(make_input(1000.0, 1100.0, 21100.0)) ==
                milliseconds(3000.0)));
}

BOOST_AUTO_TEST_CASE(wait_leaves_time_for_a_retry_at_another_vm)
{
    const auto until =
        startup_wait_deadline(make_input(1000.0, 1100.0, 1500.0));
    BOOST_TEST((until > milliseconds(1100.0)));
    BOOST_TEST((until <= milliseconds(1300.0)));
}

BOOST_AUTO_TEST_CASE(vm_not_ready_after_the_startup_period_refuses_at_once)
{
    BOOST_TEST((startup_wait_deadline(make_input(1000.0, 9000.0, 20000.0)) ==
                milliseconds(9000.0)));
}

RC_BOOST_PROP(more_time_left_never_ends_the_wait_earlier, ())
{
    const double started = *rc::gen::inRange(0, 10000);
    const double arrived = started + *rc::gen::inRange(0, 10000);
    const double deadline = arrived + *rc::gen::inRange(0, 30000);
    const double later = deadline + *rc::gen::inRange(0, 30000);
    RC_ASSERT(startup_wait_deadline(make_input(started, arrived, deadline)) <=
              startup_wait_deadline(make_input(started, arrived, later)));
}

RC_BOOST_PROP(wait_ends_between_arrival_and_deadline, ())
{
    const double started = *rc::gen::inRange(0, 10000);
    const double arrived = started + *rc::gen::inRange(0, 10000);
    const double deadline = arrived + *rc::gen::inRange(0, 30000);
    const auto until =
        startup_wait_deadline(make_input(started, arrived, deadline));
    RC_ASSERT(until >= milliseconds(arrived));
    RC_ASSERT(until <= milliseconds(deadline));
}

BOOST_AUTO_TEST_SUITE_END()
