// Tests of how long calls wait for a target before they are refused.

#include "relay_fixture.hpp"

#include <algorithm>

using namespace anvilturn;
using namespace anvilturn::test;

namespace
{

// Long enough for a refusal that does not depend on a target to arrive.
constexpr int refusal_window_ms = 100;

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

// Returns whether the connection receives anything within the window.
bool is_answered_soon(test_connection& caller)
{
    pollfd waiting{caller.socket().native_handle(), POLLIN, 0};
    return ::poll(&waiting, 1, refusal_window_ms) > 0;
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
    caller.send(request_with_deadline(20000));
    auto target_side = target.accept();
    target_side.read_header();
    return {std::move(caller), std::move(target_side)};
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
    auto longest = vm.call();
    longest.send(request_with_deadline(20000));
    auto shorter = vm.call();
    shorter.send(request_with_deadline(10000));
    BOOST_TEST(is_answered_soon(longest) == is_answered_soon(shorter));
}

// An answer after the objective and before the deadline is still worth having
// to its caller.
BOOST_AUTO_TEST_CASE(call_that_missed_its_latency_objective_still_waits)
{
    scripted_target target;
    relay vm(one_slot_release(target, milliseconds(1.0)));
    auto running = occupy_slot(vm, target);
    auto waiting = vm.call();
    waiting.send(request_with_deadline(20000));
    BOOST_TEST(!is_answered_soon(waiting));
    running.target_side_.send(ok("one"));
    running.target_side_.read_header();
    running.target_side_.send(ok("two"));
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
    std::this_thread::sleep_for(std::chrono::seconds(2));
    target_side.send(ok("archive"));
    BOOST_TEST(outcome_of(caller.read_header()) == "answered");
    caller.read_bytes(7);
    caller.send(request_with_deadline(1900));
    BOOST_TEST(contains(target_side.read_header(), "GET /kits HTTP/1.1"));
    target_side.send(ok("free"));
    BOOST_TEST(outcome_of(caller.read_header()) == "answered");
}

BOOST_AUTO_TEST_SUITE_END()
