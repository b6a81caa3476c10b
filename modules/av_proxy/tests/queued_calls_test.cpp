// Tests of calls that wait for a slot, and of how waiting and running calls end
// when their caller leaves or the VM stops.

#include "relay_fixture.hpp"

#include <sys/select.h>

#include <algorithm>
#include <future>
#include <string>

namespace anvilturn::test
{
namespace
{

release with_one_slot(release value)
{
    for (auto& target : value.targets_)
    {
        target.second.slots_ = 1;
    }
    return value;
}

} // namespace

BOOST_AUTO_TEST_SUITE(waiting_calls)

BOOST_AUTO_TEST_CASE(deadline_passes_while_the_call_waits)
{
    scripted_target target;
    relay vm(with_one_slot(make_release({target.address()})));
    auto running = start_call_at_target(vm, target);
    auto second = vm.call();
    second.send("GET /kits HTTP/1.1\r\nHost: h\r\n"
                "Anvilturn-Deadline-Ms: 20\r\n\r\n");
    BOOST_TEST(outcome_of(second.read_header()) ==
               "not-run deadline_unreachable");
    BOOST_TEST(!target.has_pending_connection());
}

BOOST_AUTO_TEST_CASE(freed_slot_serves_the_call_that_waits)
{
    scripted_target target;
    relay vm(with_one_slot(make_release({target.address()})));
    auto running = start_call_at_target(vm, target);
    auto second = vm.call();
    second.send(get("/kits/second"));
    running.connection_.send(ok("one"));
    BOOST_TEST(
        contains(running.connection_.read_header(), "GET /kits/second "));
    running.connection_.send(ok("two"));
    BOOST_TEST(outcome_of(second.read_header()) == "answered");
}

BOOST_AUTO_TEST_CASE(full_queue_refuses)
{
    scripted_target target;
    auto value = with_one_slot(make_release({target.address()}));
    value.services_["kits"].queue_limit_ = 1;
    relay vm(value);
    auto running = start_call_at_target(vm, target);
    // Which of the two gets the free place in the queue depends on which
    // arrives first.
    auto second = vm.call();
    auto third = vm.call();
    second.send(get("/kits/second"));
    third.send(get("/kits/third"));
    fd_set set;
    FD_ZERO(&set);
    const int handles[] = {second.socket().native_handle(),
                           third.socket().native_handle()};
    FD_SET(handles[0], &set);
    FD_SET(handles[1], &set);
    timeval limit{watchdog_seconds, 0};
    BOOST_TEST(select(std::max(handles[0], handles[1]) + 1,
                      &set,
                      nullptr,
                      nullptr,
                      &limit) == 1);
    auto& refused = FD_ISSET(handles[0], &set) ? second : third;
    const auto header = refused.read_header();
    BOOST_TEST(outcome_of(header) == "not-run queue_full");
    BOOST_TEST(contains(header, "Retry-After: "));
}

// All targets of a service may refuse a part of their calls though they have
// room. A long Retry-After would make the caller wait for no reason.
BOOST_AUTO_TEST_CASE(retry_after_is_short_if_the_target_refused_with_room)
{
    for (const bool has_room : {true, false})
    {
        scripted_target target;
        relay vm(make_release({target.address()}));
        auto caller = vm.call();
        caller.send("POST /kits HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n"
                    "Anvilturn-Deadline: 20000\r\n\r\n");
        auto connection = target.accept();
        connection.read_header();
        connection.send(std::string("HTTP/1.1 503 Busy\r\n"
                                    "Anvilturn-Not-Run: 1\r\n"
                                    "Anvilturn-Load: busy=") +
                        (has_room ? "0" : "6") +
                        ", queued=0, slots=6\r\n"
                        "Content-Length: 0\r\n\r\n");
        const auto header = caller.read_header();
        BOOST_TEST(outcome_of(header) == "not-run retry_budget_spent");
        const auto at = header.find("Retry-After: ");
        BOOST_TEST_REQUIRE(at != std::string::npos);
        const double seconds = std::stod(header.substr(at + 13));
        BOOST_TEST((seconds < 0.2) == has_room);
    }
}

BOOST_AUTO_TEST_CASE(disconnected_caller_is_removed_from_the_queue)
{
    scripted_target target;
    relay vm(with_one_slot(make_release({target.address()})));
    auto running = start_call_at_target(vm, target);
    auto leaving = vm.call();
    leaving.send(get("/kits/gone"));
    wait_until(
        [&vm]
        {
            return vm.path().statistics().services_[0].waiting_ > 0;
        });
    leaving.close();
    wait_until(
        [&vm]
        {
            return vm.path().statistics().services_[0].waiting_ == 0;
        });
    running.connection_.send(ok("one"));
    running.caller_.read_header();
    running.caller_.read_bytes(3);
    running.caller_.send(get("/kits/next"));
    BOOST_TEST(contains(running.connection_.read_header(), "GET /kits/next "));
    const auto statistics = vm.path().statistics();
    BOOST_TEST(statistics.reasons_.at(error_kind::call_cancelled) == 1U);
    BOOST_TEST(statistics.not_run_ == 1U);
}

BOOST_AUTO_TEST_CASE(caller_disconnect_cancels_the_running_call)
{
    scripted_target target;
    relay vm(make_release({target.address()}));
    auto running = start_call_at_target(vm, target);
    running.caller_.close();
    BOOST_TEST(running.connection_.read_to_end() == "");
    wait_until(
        [&vm]
        {
            return vm.path().statistics().calls_in_flight_ == 0;
        });
    const auto statistics = vm.path().statistics();
    BOOST_TEST(statistics.unknown_ == 1U);
    BOOST_TEST(statistics.targets_[0].local_in_flight_ == 0);
}

BOOST_AUTO_TEST_CASE(stop_refuses_waiting_calls_and_finishes_running_calls)
{
    scripted_target target;
    relay vm(with_one_slot(make_release({target.address()})));
    auto running = start_call_at_target(vm, target);
    auto second = vm.call();
    second.send(get("/kits/second"));
    wait_until(
        [&vm]
        {
            return vm.path().statistics().services_[0].waiting_ > 0;
        });
    auto finished =
        std::async(std::launch::async,
                   [&vm]
                   {
                       return vm.path().finish(milliseconds(20000.0));
                   });
    BOOST_TEST(outcome_of(second.read_header()) == "not-run vm_stopping");
    running.connection_.send(ok("one"));
    const auto header = running.caller_.read_header();
    BOOST_TEST(outcome_of(header) == "answered");
    BOOST_TEST(contains(header, "Connection: close\r\n"));
    BOOST_TEST(running.caller_.read_bytes(3) == "one");
    running.caller_.close();
    second.close();
    BOOST_TEST(finished.get());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace anvilturn::test
