#include "relay_fixture.hpp"

#include <functional>

namespace anvilturn::test
{
namespace
{

// A fault of a target, and the outcome that the caller must see.
struct target_fault
{
    const char* name_;
    std::function<void(test_connection&)> inject_;
    const char* outcome_;
};

const std::string ok_line = "HTTP/1.1 200 OK\r\n";
const std::string not_run_response = "HTTP/1.1 503 Busy\r\nAnvilturn-Not-Run: "
                                     "1\r\nContent-Length: 4\r\n\r\nbusy";

std::function<void(test_connection&)> send_and_close(const std::string& bytes)
{
    return [bytes](test_connection& connection)
    {
        connection.send(bytes);
        connection.close();
    };
}

std::vector<target_fault> faults()
{
    return {
        {"closes without a response",
         [](test_connection& connection)
         {
             connection.close();
         },
         "unknown target_answer_lost"},
        {"resets",
         [](test_connection& connection)
         {
             connection.reset();
         },
         "unknown target_answer_lost"},
        {"closes within the header",
         send_and_close("HTTP/1.1 200 OK\r\nContent-"),
         "unknown target_answer_lost"},
        {"refuses after the body",
         send_and_close(not_run_response),
         "not-run retry_budget_spent"},
        {"refuses without the Not-Run header",
         send_and_close("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"),
         "answered"},
        {"sends the Not-Run header with status 500",
         send_and_close("HTTP/1.1 500 Error\r\nAnvilturn-Not-Run: 1\r\n"
                        "Content-Length: 0\r\n\r\n"),
         "answered"},
        {"two Content-Length headers",
         send_and_close(ok_line +
                        "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab"),
         "unknown target_answer_malformed"},
        {"Content-Length and chunked",
         send_and_close(ok_line +
                        "Content-Length: 1\r\nTransfer-Encoding: chunked"
                        "\r\n\r\n0\r\n\r\n"),
         "unknown target_answer_malformed"},
        {"body without framing",
         send_and_close(ok_line + "\r\nbody"),
         "unknown target_answer_malformed"},
        {"header too large",
         send_and_close(ok_line + "X-A: " + std::string(20000, 'a') +
                        "\r\n\r\n"),
         "unknown target_answer_malformed"},
        {"not HTTP",
         send_and_close("220 mail ready\r\n\r\n"),
         "unknown target_answer_malformed"},
    };
}

release with_retry_budget(release value)
{
    value.services_["kits"].retry_ratio_ = 1.0;
    return value;
}

// Returns the target that is called first.
scripted_target& wait_for_call(scripted_target& a, scripted_target& b)
{
    wait_until(
        [&]
        {
            return a.has_pending_connection() || b.has_pending_connection();
        });
    return a.has_pending_connection() ? a : b;
}

} // namespace

BOOST_AUTO_TEST_SUITE(faults_of_targets)

BOOST_AUTO_TEST_CASE(each_target_fault_gives_its_outcome)
{
    for (const auto& fault : faults())
    {
        BOOST_TEST_CONTEXT(fault.name_)
        {
            scripted_target target;
            relay vm(make_release({target.address()}));
            auto caller = vm.call();
            caller.send(post("/kits", "order"));
            auto connection = target.accept();
            connection.read_header();
            connection.read_bytes(5);
            fault.inject_(connection);
            BOOST_TEST(outcome_of(caller.read_header()) == fault.outcome_);
            BOOST_TEST(!target.has_pending_connection());
        }
    }
}

BOOST_AUTO_TEST_CASE(target_that_does_not_listen_means_not_run)
{
    scripted_target target;
    const auto address = target.address();
    target.stop_listening();
    relay vm(make_release({address}));
    auto caller = vm.call();
    caller.send(post("/kits", "order"));
    const auto header = caller.read_header();
    BOOST_TEST(contains(header, "HTTP/1.1 503 "));
    BOOST_TEST(outcome_of(header) == "not-run target_unreachable");
}

BOOST_AUTO_TEST_CASE(call_goes_to_another_target_if_the_first_does_not_listen)
{
    scripted_target unreachable;
    scripted_target other(loopback);
    const auto address = unreachable.address();
    unreachable.stop_listening();
    relay vm(make_release({address, other.address()}));
    for (int i = 0; i < 4; ++i)
    {
        auto caller = vm.call();
        caller.send(post("/kits", "order"));
        auto connection = other.accept();
        connection.read_header();
        connection.read_bytes(5);
        connection.send(ok("done", "Connection: close\r\n"));
        BOOST_TEST(outcome_of(caller.read_header()) == "answered");
    }
}

BOOST_AUTO_TEST_CASE(refused_call_runs_at_the_other_target)
{
    scripted_target first;
    scripted_target second;
    auto value = with_retry_budget(make_release({first.address()}));
    relay vm(value);
    auto caller = vm.call();
    caller.send(post("/kits", "order"));
    auto connection = first.accept();
    connection.read_header();
    connection.read_bytes(5);
    value.version_ = 2;
    auto spec = value.targets_["kits-1"];
    spec.name_ = "kits-2";
    spec.address_ = second.address();
    value.targets_["kits-2"] = spec;
    vm.path().publish(value);
    connection.send(not_run_response);
    auto other = second.accept();
    BOOST_TEST(contains(other.read_header(), "POST /kits "));
    BOOST_TEST(other.read_bytes(5) == "order");
    other.send(ok("done"));
    BOOST_TEST(outcome_of(caller.read_header()) == "answered");
    BOOST_TEST(vm.path().statistics().extra_attempts_ == 1U);
}

BOOST_AUTO_TEST_CASE(only_idempotent_calls_are_retried_after_a_lost_response)
{
    scripted_target first;
    scripted_target second;
    relay vm(
        with_retry_budget(make_release({first.address(), second.address()})));
    for (const bool idempotent : {true, false})
    {
        auto caller = vm.call();
        caller.send(get(idempotent ? "/kits/availability" : "/kits/order"));
        auto& called = wait_for_call(first, second);
        auto& other = &called == &first ? second : first;
        auto connection = called.accept();
        connection.read_header();
        connection.close();
        if (idempotent)
        {
            auto again = other.accept();
            again.read_header();
            again.send(ok("4", "Connection: close\r\n"));
            BOOST_TEST(outcome_of(caller.read_header()) == "answered");
        }
        else
        {
            BOOST_TEST(outcome_of(caller.read_header()) ==
                       "unknown target_answer_lost");
            BOOST_TEST(!other.has_pending_connection());
        }
    }
}

BOOST_AUTO_TEST_CASE(truncated_response_resets_the_caller_connection)
{
    const std::vector<std::pair<const char*, std::string>> responses{
        {"by length", ok_line + "Content-Length: 10\r\n\r\nhalf"},
        {"chunked",
         ok_line + "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"},
        {"bad chunk",
         ok_line + "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\nxx\r\n"},
    };
    for (const auto& response : responses)
    {
        BOOST_TEST_CONTEXT(response.first)
        {
            scripted_target target;
            relay vm(make_release({target.address()}));
            auto running = start_call_at_target(vm, target);
            running.connection_.send(response.second);
            running.connection_.close();
            const auto got = running.caller_.read_to_end();
            BOOST_TEST(!contains(got, "\r\n0\r\n\r\n"));
            BOOST_TEST((running.caller_.end() ==
                        boost::asio::error::connection_reset));
            const auto statistics = vm.path().statistics();
            BOOST_TEST(statistics.unknown_ == 1U);
            BOOST_TEST(statistics.answered_ == 0U);
        }
    }
}

BOOST_AUTO_TEST_CASE(connection_is_not_reused_after_an_ambiguous_response)
{
    const std::vector<std::pair<const char*, std::string>> responses{
        {"surplus bytes", ok("own") + "HTTP/1.1 200 OK\r\n"},
        {"asks to close", ok("own", "Connection: close\r\n")},
        {"1.0", "HTTP/1.0 200 OK\r\nContent-Length: 3\r\n\r\nown"},
    };
    for (const auto& response : responses)
    {
        BOOST_TEST_CONTEXT(response.first)
        {
            scripted_target target;
            relay vm(make_release({target.address()}));
            auto running = start_call_at_target(vm, target);
            running.connection_.send(response.second);
            running.caller_.read_header();
            BOOST_TEST(running.caller_.read_bytes(3) == "own");
            running.caller_.send(get("/kits/second"));
            auto fresh = target.accept();
            BOOST_TEST(contains(fresh.read_header(), "GET /kits/second "));
            BOOST_TEST(running.connection_.read_to_end() == "");
        }
    }
}

// Guards against writing a call to an idle connection that the target closed,
// reset or wrote to, whether the request path was notified of it before the
// call or not.
BOOST_AUTO_TEST_CASE(
    idle_connection_closed_or_written_by_the_target_is_not_reused)
{
    const std::vector<
        std::pair<const char*, std::function<void(test_connection&)>>>
        acts{
            {"closed",
             [](test_connection& connection)
             {
                 connection.close();
             }},
            {"reset",
             [](test_connection& connection)
             {
                 connection.reset();
             }},
            {"unsolicited response",
             [](test_connection& connection)
             {
                 connection.send(ok("foreign"));
             }},
        };
    for (const auto& act : acts)
    {
        BOOST_TEST_CONTEXT(act.first)
        {
            scripted_target target;
            relay vm(make_release({target.address()}));
            auto running = start_call_at_target(vm, target);
            running.connection_.send(ok("one"));
            running.caller_.read_header();
            running.caller_.read_bytes(3);
            act.second(running.connection_);
            running.caller_.send(post("/kits", "order"));
            auto fresh = target.accept();
            fresh.read_header();
            BOOST_TEST(fresh.read_bytes(5) == "order");
            fresh.send(ok("two"));
            BOOST_TEST(outcome_of(running.caller_.read_header()) == "answered");
            BOOST_TEST(running.caller_.read_bytes(3) == "two");
        }
    }
}

BOOST_AUTO_TEST_CASE(late_response_is_discarded)
{
    scripted_target target;
    relay vm(make_release({target.address()}));
    auto caller = vm.call();
    caller.send("GET /kits HTTP/1.1\r\nHost: h\r\n"
                "Anvilturn-Deadline-Ms: 20\r\n\r\n");
    auto connection = target.accept();
    connection.read_header();
    const auto header = caller.read_header();
    BOOST_TEST(contains(header, "HTTP/1.1 504 "));
    BOOST_TEST(outcome_of(header) == "unknown deadline_exceeded");
    BOOST_TEST(connection.read_to_end() == "");
    // The next caller gets a new connection and its own response.
    auto next = vm.call();
    next.send(get("/kits/next"));
    auto fresh = target.accept();
    BOOST_TEST(contains(fresh.read_header(), "GET /kits/next "));
    fresh.send(ok("own"));
    BOOST_TEST(outcome_of(next.read_header()) == "answered");
    BOOST_TEST(next.read_bytes(3) == "own");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(leaving_targets)

BOOST_AUTO_TEST_CASE(draining_header_stops_new_calls_and_sends_a_notice)
{
    scripted_target first;
    relay vm(make_release({first.address()}));
    auto running = start_call_at_target(vm, first);
    running.connection_.send(ok("one", "Anvilturn-Draining: 1\r\n"));
    running.caller_.read_header();
    running.caller_.read_bytes(3);
    const auto notice = vm.notice();
    BOOST_TEST(notice.target_ == "kits-1");
    BOOST_TEST((notice.kind_ == target_notice_kind::draining));
    running.caller_.send(get("/kits"));
    BOOST_TEST(outcome_of(running.caller_.read_header()) ==
               "not-run no_target_available");
    target_notice serving;
    serving.kind_ = target_notice_kind::serving;
    serving.target_ = "kits-1";
    vm.path().apply(serving);
    auto again = vm.call();
    again.send(get("/kits/again"));
    BOOST_TEST(contains(running.connection_.read_header(), "GET /kits/again "));
}

// Guards against a VM that alone excludes a target for good: it has seen the
// target draining after the check that makes all others use it again, so that
// none of them checks for its return any more.
BOOST_AUTO_TEST_CASE(a_sign_of_draining_after_a_good_check_is_reported_again)
{
    scripted_target first;
    relay vm(make_release({first.address()}));
    target_notice notice;
    notice.target_ = "kits-1";
    notice.kind_ = target_notice_kind::draining;
    notice.age_ = milliseconds(1000.0);
    BOOST_TEST(vm.path().apply(notice));
    notice.kind_ = target_notice_kind::serving;
    notice.age_ = milliseconds(2000.0);
    BOOST_TEST(!vm.path().apply(notice));
    const auto reported = vm.notice();
    BOOST_TEST((reported.kind_ == target_notice_kind::draining));
    BOOST_TEST(reported.target_ == "kits-1");
    BOOST_TEST(reported.age_.count() >= 1000.0);
    BOOST_TEST(reported.age_.count() < 2000.0);
    notice.age_ = milliseconds(0.0);
    BOOST_TEST(vm.path().apply(notice));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace anvilturn::test
