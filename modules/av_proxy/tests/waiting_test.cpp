// Tests of how long calls wait for a target before they are refused. Time
// passes by an event: the refusal of a call at its deadline, which comes after
// that of any call that should have been refused earlier.

#include "relay_fixture.hpp"

using namespace anvilturn;
using namespace anvilturn::test;

namespace
{

constexpr int long_deadline_ms = 20000;

// Returns a release with one target of one slot, whose rules have the latency
// objective.
release one_slot_release(const scripted_target& target,
                         milliseconds latency_objective)
{
    auto value = make_release({target.address()}, "ask_first");
    for (auto& entry : value.targets_)
    {
        entry.second.slots_ = 1;
    }
    for (auto& entry : value.rules_)
    {
        entry.second.latency_objective_ = latency_objective;
    }
    return value;
}

std::string request_with_deadline(int deadline_ms)
{
    return "GET /kits HTTP/1.1\r\nHost: h\r\nAnvilturn-Deadline-Ms: " +
           std::to_string(deadline_ms) + "\r\n\r\n";
}

// A call that occupies the slot of the target, with both of its connections.
struct running_call
{
    test_connection caller_;
    test_connection target_side_;
};

running_call occupy_slot(relay& vm, scripted_target& target)
{
    auto caller = vm.call();
    caller.send(request_with_deadline(long_deadline_ms));
    auto target_side = target.accept();
    target_side.read_header();
    return {std::move(caller), std::move(target_side)};
}

// Sends a call and returns its connection once the call waits as well as those
// before it.
test_connection start_waiting_call(relay& vm, int deadline_ms, int waiting)
{
    auto caller = vm.call();
    caller.send(request_with_deadline(deadline_ms));
    wait_until(
        [&vm, waiting]
        {
            return vm.path().statistics().services_[0].waiting_ == waiting;
        });
    return caller;
}

// Returns when this time has passed for the VM: when it refuses a call with
// this deadline. No target may have room meanwhile.
void let_pass(relay& vm, int time_ms)
{
    auto caller = vm.call();
    caller.send(request_with_deadline(time_ms));
    BOOST_TEST(outcome_of(caller.read_header()) ==
               "not-run deadline_unreachable");
}

// Answers the running call and those that wait behind it.
void answer_all(running_call& running, int waiting)
{
    running.target_side_.send(ok("done"));
    for (int i = 0; i < waiting; ++i)
    {
        running.target_side_.read_header();
        running.target_side_.send(ok("done"));
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(waiting_suite)

// A caller with less time than others on its rule may be a retry or just a
// caller with less time; both wait for the time that they have.
BOOST_AUTO_TEST_CASE(calls_with_other_deadlines_of_a_rule_are_treated_alike)
{
    scripted_target target;
    relay vm(one_slot_release(target, milliseconds(1.0)));
    auto running = occupy_slot(vm, target);
    auto longest = start_waiting_call(vm, long_deadline_ms, 1);
    auto shorter = start_waiting_call(vm, long_deadline_ms / 2, 2);
    let_pass(vm, 50);
    answer_all(running, 2);
    BOOST_TEST(outcome_of(longest.read_header()) == "answered");
    BOOST_TEST(outcome_of(shorter.read_header()) == "answered");
}

// An answer after the objective and before the deadline is still of use
// to its caller.
BOOST_AUTO_TEST_CASE(call_that_missed_its_latency_objective_still_waits)
{
    scripted_target target;
    relay vm(one_slot_release(target, milliseconds(1.0)));
    auto running = occupy_slot(vm, target);
    auto waiting = start_waiting_call(vm, long_deadline_ms, 1);
    let_pass(vm, 50);
    answer_all(running, 1);
    BOOST_TEST(outcome_of(waiting.read_header()) == "answered");
}

// The rule for archives needs 2 s of work; an availability check with less time
// left than that can be served.
BOOST_AUTO_TEST_CASE(call_is_not_refused_for_the_work_of_another_rule)
{
    scripted_target target;
    relay vm(one_slot_release(target, milliseconds(0.0)));
    auto caller = vm.call();
    caller.send(get("/kits/availability"));
    auto target_side = target.accept();
    target_side.read_header();
    let_pass(vm, 2000);
    target_side.send(ok("archive"));
    BOOST_TEST(outcome_of(caller.read_header()) == "answered");
    caller.read_bytes(7);
    caller.send(request_with_deadline(1900));
    BOOST_TEST(contains(target_side.read_header(), "GET /kits HTTP/1.1"));
    target_side.send(ok("free"));
    BOOST_TEST(outcome_of(caller.read_header()) == "answered");
}

BOOST_AUTO_TEST_SUITE_END()
