#include <av_limits/start_wait.hpp>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace anvilturn;

namespace
{

start_facts facts(double started, double arrived, double deadline)
{
    return {
        milliseconds(started), milliseconds(arrived), milliseconds(deadline)};
}

} // namespace

BOOST_AUTO_TEST_SUITE(start_waits)

// All VMs restart at once, and callers with few retries call meanwhile.
BOOST_AUTO_TEST_CASE(calls_wait_for_a_vm_that_just_started)
{
    const auto until = start_wait_until(facts(1000.0, 1100.0, 4100.0));
    BOOST_TEST((until > milliseconds(1300.0)));
    BOOST_TEST((until < milliseconds(2100.0)));
}

BOOST_AUTO_TEST_CASE(a_short_deadline_leaves_time_for_another_vm)
{
    const auto until = start_wait_until(facts(1000.0, 1100.0, 1500.0));
    BOOST_TEST((until > milliseconds(1100.0)));
    BOOST_TEST((until <= milliseconds(1300.0)));
}

BOOST_AUTO_TEST_CASE(a_vm_that_did_not_get_ready_refuses_at_once)
{
    BOOST_TEST((start_wait_until(facts(1000.0, 9000.0, 20000.0)) ==
                milliseconds(9000.0)));
}

RC_BOOST_PROP(no_call_waits_past_its_deadline_or_before_its_arrival, ())
{
    const double started = *rc::gen::inRange(0, 10000);
    const double arrived = started + *rc::gen::inRange(0, 10000);
    const double deadline = arrived + *rc::gen::inRange(0, 30000);
    const auto until = start_wait_until(facts(started, arrived, deadline));
    RC_ASSERT(until >= milliseconds(arrived));
    RC_ASSERT(until <= milliseconds(deadline));
}

BOOST_AUTO_TEST_SUITE_END()
