// A VM that stops while requests arrive or run.

#include "relay_fixture.hpp"

#include <av_core/monotonic_clock.hpp>

#include <future>
#include <string>

namespace anvilturn::test
{
namespace
{

// For calls that outlast the stop.
constexpr milliseconds long_timeout(60000.0);
// Long enough for a call to reach its target on a busy machine.
constexpr milliseconds short_stop(3000.0);
constexpr milliseconds usual_work(1000.0);
// Longer than a VM that stops keeps an idle connection.
constexpr milliseconds idle_time(700.0);
// Long enough for finish to give its orders to the thread of the VM. If it did
// not, the requests would be read first, and the test would pass.
constexpr milliseconds order_time(100.0);

void let_pass(milliseconds time)
{
    const auto end = monotonic_now() + time;
    wait_until(
        [end]
        {
            return monotonic_now() >= end;
        });
}

// A VM with an idle connection, whose thread then blocks until resume(), as
// under load: requests lie unread in their sockets when it closes what is not
// in use.
class busy_vm
{
public:
    busy_vm()
        : vm_(make_release({target_.address()}),
              single_thread_settings(),
              gate_.get_future().share())
        , idle_caller_(vm_.call())
    {
        idle_caller_.send(get("/kits"));
        auto connection = target_.accept();
        connection.read_header();
        connection.send(ok("one"));
        BOOST_TEST(outcome_of(idle_caller_.read_header()) == "answered");
        BOOST_TEST(idle_caller_.read_bytes(3) == "one");
        let_pass(idle_time);
        auto busy_caller = vm_.call();
        busy_caller.send(get("/kits"));
        connection.read_header();
        connection.send(ok("two", "Anvilturn-Draining: 1\r\n"));
        vm_.notice();
    }

    // Stops the VM while its thread is blocked, and continues the thread.
    // Returns whether all calls ended in time.
    std::future<bool> stop()
    {
        auto finished =
            std::async(std::launch::async,
                       [this]
                       {
                           return vm_.path().finish(milliseconds(10000.0));
                       });
        let_pass(order_time);
        gate_.set_value();
        return finished;
    }

    scripted_target target_;
    std::promise<void> gate_;
    relay vm_;
    test_connection idle_caller_;
};

// A VM whose calls may take long, and a caller of it.
struct long_call_vm
{
    long_call_vm()
        : vm_(with_long_timeout(make_release({target_.address()})))
        , caller_(vm_.call())
    {
    }

    static release with_long_timeout(release value)
    {
        value.rules_["kits"].timeout_ = long_timeout;
        value.services_["kits"].default_deadline_ = long_timeout;
        return value;
    }

    std::future<bool> finish(milliseconds time_limit)
    {
        return std::async(std::launch::async,
                          [this, time_limit]
                          {
                              return vm_.path().finish(time_limit);
                          });
    }

    // Checks that the caller gets the outcome, and that all calls then ended in
    // time.
    void expect_answer(const std::string& outcome, std::future<bool>& finished)
    {
        BOOST_TEST(outcome_of(caller_.read_header()) == outcome);
        caller_.close();
        BOOST_TEST(finished.get());
    }

    scripted_target target_;
    relay vm_;
    test_connection caller_;
};

// Returns the milliseconds that a request gives the target.
double deadline_in(const std::string& request_header)
{
    const std::string name = "Anvilturn-Deadline-Ms: ";
    const auto at = request_header.find(name);
    BOOST_TEST_REQUIRE(at != std::string::npos);
    return std::stod(request_header.substr(at + name.size()));
}

} // namespace

BOOST_AUTO_TEST_SUITE(stop)

// The process ends before the work would: the caller must not be cut off.
BOOST_AUTO_TEST_CASE(a_call_that_begins_late_is_answered_before_the_end)
{
    long_call_vm stopping;
    stopping.vm_.path().begin_drain(short_stop);
    stopping.caller_.send(post("/kits", "order"));
    auto connection = stopping.target_.accept();
    BOOST_TEST(deadline_in(connection.read_header()) <= short_stop.count());
    auto finished = stopping.finish(short_stop);
    stopping.expect_answer("unknown deadline_exceeded", finished);
}

BOOST_AUTO_TEST_CASE(a_call_that_runs_too_long_is_answered_before_the_end)
{
    long_call_vm stopping;
    stopping.caller_.send(post("/kits", "order"));
    auto connection = stopping.target_.accept();
    connection.read_header();
    auto finished = stopping.finish(short_stop);
    stopping.expect_answer("unknown deadline_exceeded", finished);
}

// Guards against a call that is sent to a target though it can't end before the
// VM does, so that its caller would not know whether it has run.
BOOST_AUTO_TEST_CASE(a_call_whose_usual_work_does_not_fit_is_refused)
{
    long_call_vm stopping;
    stopping.caller_.send(post("/kits", "order"));
    auto connection = stopping.target_.accept();
    connection.read_header();
    let_pass(usual_work);
    connection.send(ok("done"));
    BOOST_TEST(outcome_of(stopping.caller_.read_header()) == "answered");
    BOOST_TEST(stopping.caller_.read_bytes(4) == "done");
    stopping.vm_.path().begin_drain(usual_work);
    stopping.caller_.send(post("/kits", "order"));
    BOOST_TEST(outcome_of(stopping.caller_.read_header()) ==
               "not-run vm_stopping");
}

// Its header arrived before; once the VM finishes, no call is passed on.
BOOST_AUTO_TEST_CASE(a_request_that_is_complete_late_is_refused)
{
    long_call_vm stopping;
    const auto request = post("/kits", "order");
    const auto split = request.size() - 1;
    stopping.caller_.send(request.substr(0, split));
    wait_until(
        [&]
        {
            return stopping.vm_.path().statistics().calls_in_flight_ == 1;
        });
    auto unused = stopping.vm_.call();
    auto finished = stopping.finish(milliseconds(20000.0));
    // A VM that finishes closes connections that are not in use.
    BOOST_TEST(unused.read_header().empty());
    stopping.caller_.send(request.substr(split));
    stopping.expect_answer("not-run vm_stopping", finished);
    BOOST_TEST(!stopping.target_.has_pending_connection());
}

BOOST_AUTO_TEST_CASE(a_request_unread_on_an_idle_connection_is_answered)
{
    busy_vm busy;
    busy.idle_caller_.send(get("/kits"));
    auto finished = busy.stop();
    BOOST_TEST(outcome_of(busy.idle_caller_.read_header()) ==
               "not-run vm_stopping");
    busy.idle_caller_.close();
    BOOST_TEST(finished.get());
}

BOOST_AUTO_TEST_CASE(a_request_on_a_connection_not_accepted_yet_is_answered)
{
    busy_vm busy;
    auto caller = busy.vm_.call();
    caller.send(get("/kits"));
    auto finished = busy.stop();
    BOOST_TEST(outcome_of(caller.read_header()) == "not-run vm_stopping");
    caller.close();
    BOOST_TEST(finished.get());
}

BOOST_AUTO_TEST_CASE(an_idle_connection_is_closed)
{
    busy_vm busy;
    auto finished = busy.stop();
    BOOST_TEST(busy.idle_caller_.read_header().empty());
    BOOST_TEST((busy.idle_caller_.end() == boost::asio::error::eof));
    BOOST_TEST(finished.get());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace anvilturn::test
