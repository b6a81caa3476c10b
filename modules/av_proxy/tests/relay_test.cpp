#include "relay_fixture.hpp"

#include <thread>

namespace anvilturn::test
{

BOOST_AUTO_TEST_SUITE(relaying)

BOOST_AUTO_TEST_CASE(get_is_relayed_with_its_response)
{
    scripted_target target;
    relay vm(make_release({target.address()}));
    auto caller = vm.call();
    caller.send("GET /kits/4?day=2 HTTP/1.1\r\nHost: kits.example\r\n"
                "Accept: text/plain\r\nAnvilturn-Call-Id: call-7\r\n"
                "Anvilturn-Depth: 2\r\nConnection: x-hop\r\nX-Hop: 1\r\n"
                "\r\n");
    auto connection = target.accept();
    const auto request = connection.read_header();
    BOOST_TEST(contains(request, "GET /kits/4?day=2 HTTP/1.1\r\n"));
    BOOST_TEST(contains(request, "Accept: text/plain\r\n"));
    BOOST_TEST(contains(request, "Anvilturn-Call-Id: call-7\r\n"));
    BOOST_TEST(contains(request, "Anvilturn-Depth: 3\r\n"));
    BOOST_TEST(contains(request, "Anvilturn-Deadline-Ms: "));
    BOOST_TEST(!contains(request, "X-Hop"));
    connection.send(ok("four kits", "X-Own: yes\r\nKeep-Alive: 5\r\n"));
    const auto response = caller.read_header();
    BOOST_TEST(contains(response, "HTTP/1.1 200 OK\r\n"));
    BOOST_TEST(contains(response, "X-Own: yes\r\n"));
    BOOST_TEST(contains(response, "Anvilturn-Call-Id: call-7\r\n"));
    BOOST_TEST(!contains(response, "Keep-Alive"));
    BOOST_TEST(outcome_of(response) == "answered");
    BOOST_TEST(caller.read_bytes(9) == "four kits");
}

BOOST_AUTO_TEST_CASE(post_body_is_relayed_and_connections_are_reused)
{
    scripted_target target;
    relay vm(make_release({target.address()}));
    auto caller = vm.call();
    caller.send(post("/kits", "first"));
    auto connection = target.accept();
    BOOST_TEST(contains(connection.read_header(), "Content-Length: 5\r\n"));
    BOOST_TEST(connection.read_bytes(5) == "first");
    connection.send(ok("one"));
    caller.read_header();
    BOOST_TEST(caller.read_bytes(3) == "one");
    caller.send(post("/kits", "second"));
    BOOST_TEST(contains(connection.read_header(), "Content-Length: 6\r\n"));
    BOOST_TEST(connection.read_bytes(6) == "second");
    connection.send(ok("two"));
    caller.read_header();
    BOOST_TEST(caller.read_bytes(3) == "two");
}

BOOST_AUTO_TEST_CASE(pipelined_requests_are_served_in_order)
{
    scripted_target target;
    relay vm(make_release({target.address()}));
    auto caller = vm.call();
    caller.send(get("/kits/1") + get("/nothing") + post("/kits/2", "two"));
    auto connection = target.accept();
    BOOST_TEST(contains(connection.read_header(), "GET /kits/1 "));
    connection.send(ok("1st"));
    BOOST_TEST(contains(connection.read_header(), "POST /kits/2 "));
    BOOST_TEST(connection.read_bytes(3) == "two");
    connection.send(ok("3rd"));
    BOOST_TEST(outcome_of(caller.read_header()) == "answered");
    BOOST_TEST(caller.read_bytes(3) == "1st");
    const auto second = caller.read_header();
    BOOST_TEST(outcome_of(second) == "not-run service_unknown");
    caller.read_line();
    BOOST_TEST(outcome_of(caller.read_header()) == "answered");
    BOOST_TEST(caller.read_bytes(3) == "3rd");
}

BOOST_AUTO_TEST_CASE(large_bodies_are_streamed_both_ways)
{
    // Larger than all buffers on the path together, so that both senders are
    // paused.
    const std::string body(24 * 1024 * 1024, 'k');
    scripted_target target;
    relay vm(make_release({target.address()}));
    auto caller = vm.call();
    auto sending = std::async(std::launch::async,
                              [&]
                              {
                                  caller.send(post("/kits", body));
                              });
    auto connection = target.accept();
    BOOST_TEST(contains(connection.read_header(),
                        "Content-Length: " + std::to_string(body.size())));
    BOOST_TEST((connection.read_bytes(body.size()) == body));
    sending.get();
    auto responding = std::async(std::launch::async,
                                 [&]
                                 {
                                     connection.send(ok(body));
                                 });
    BOOST_TEST(outcome_of(caller.read_header()) == "answered");
    BOOST_TEST((caller.read_bytes(body.size()) == body));
    responding.get();
}

BOOST_AUTO_TEST_CASE(chunked_bodies_keep_their_content)
{
    scripted_target target;
    relay vm(make_release({target.address()}));
    auto caller = vm.call();
    caller.send("POST /kits HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked"
                "\r\n\r\n3;x=y\r\nord\r\n2\r\ner\r\n0\r\nX-Trailer: 1\r\n\r\n");
    auto connection = target.accept();
    const auto request = connection.read_header();
    BOOST_TEST(contains(request, "Content-Length: 5\r\n"));
    BOOST_TEST(!contains(request, "Transfer-Encoding"));
    BOOST_TEST(connection.read_bytes(5) == "order");
    connection.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                    "4\r\ndone\r\n");
    const auto header = caller.read_header();
    BOOST_TEST(contains(header, "Transfer-Encoding: chunked\r\n"));
    BOOST_TEST(caller.read_line() == "4\r\n");
    BOOST_TEST(caller.read_line() == "done\r\n");
    connection.send("0\r\n\r\n");
    BOOST_TEST(caller.read_bytes(5) == "0\r\n\r\n");
}

BOOST_AUTO_TEST_CASE(response_to_head_has_no_body)
{
    scripted_target target;
    relay vm(make_release({target.address()}));
    auto caller = vm.call();
    const std::string head = "HEAD /kits HTTP/1.1\r\nHost: h\r\n\r\n";
    caller.send(head + head);
    auto connection = target.accept();
    for (int i = 0; i < 2; ++i)
    {
        connection.read_header();
        connection.send("HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n");
        BOOST_TEST(contains(caller.read_header(), "Content-Length: 99\r\n"));
    }
}

BOOST_AUTO_TEST_CASE(expect_continue_is_answered_before_the_body)
{
    scripted_target target;
    relay vm(make_release({target.address()}));
    auto caller = vm.call();
    caller.send("POST /kits HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n"
                "Expect: 100-continue\r\n\r\n");
    BOOST_TEST(caller.read_header() == "HTTP/1.1 100 Continue\r\n\r\n");
    caller.send("order");
    auto connection = target.accept();
    BOOST_TEST(!contains(connection.read_header(), "Expect"));
    BOOST_TEST(connection.read_bytes(5) == "order");
}

BOOST_AUTO_TEST_CASE(ready_check_follows_the_state)
{
    relay vm(make_release({}));
    auto check = vm.call();
    const auto expect = [&](const std::string& status, const std::string& text)
    {
        check.send(get("/.anvilturn/ready"));
        const auto header = check.read_header();
        BOOST_TEST(contains(header, "HTTP/1.1 " + status + " "));
        BOOST_TEST(check.read_bytes(text.size() + 1) == text + "\n");
    };
    expect("200", "ready");
    vm.path().set_ready(false);
    expect("503", "starting");
    vm.path().set_ready(true);
    vm.path().begin_drain(milliseconds(60000.0));
    expect("503", "stopping");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(requests_refused)

BOOST_AUTO_TEST_CASE(each_refusal_has_its_status_and_reason)
{
    struct refused_request
    {
        const char* request_;
        const char* status_;
        const char* outcome_;
    };
    const std::string large_header =
        "GET /kits HTTP/1.1\r\nHost: h\r\nX-A: " + std::string(20000, 'a') +
        "\r\n\r\n";
    const std::vector<refused_request> cases{
        {"GET /kits HTTP/1.1\r\n\r\n", "400", "not-run request_malformed"},
        {"GET /kits HTTP/1.0\r\nHost: h\r\n\r\n",
         "400",
         "not-run request_malformed"},
        {"POST /kits HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n"
         "Transfer-Encoding: chunked\r\n\r\n",
         "400",
         "not-run request_malformed"},
        {"POST /kits HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
         "x\r\n",
         "400",
         "not-run request_malformed"},
        {"GET /kits HTTP/1.1\r\nHost: h\r\nAnvilturn-Depth: 26\r\n\r\n",
         "400",
         "not-run depth_exceeded"},
        {"GET /kitsch HTTP/1.1\r\nHost: h\r\n\r\n",
         "404",
         "not-run service_unknown"},
        {"GET /.anvilturn/other HTTP/1.1\r\nHost: h\r\n\r\n",
         "404",
         "not-run service_unknown"},
        {"POST /kits HTTP/1.1\r\nHost: h\r\nContent-Length: 99999\r\n\r\n",
         "413",
         "not-run request_body_too_large"},
        {large_header.c_str(), "431", "not-run request_header_too_large"},
        {"POST /kits HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nslow",
         "408",
         "not-run request_too_slow"},
        {"GET /kits HTTP/1.1\r\nHost:", "408", "not-run request_too_slow"},
    };
    scripted_target target;
    auto settings = single_thread_settings();
    settings.limits_.body_bytes_ = 10000;
    settings.request_timeout_ = milliseconds(50.0);
    relay vm(make_release({target.address()}), settings);
    for (const auto& one : cases)
    {
        BOOST_TEST_CONTEXT(std::string(one.request_).substr(0, 70))
        {
            auto caller = vm.call();
            caller.send(one.request_);
            const auto header = caller.read_header();
            BOOST_TEST(
                contains(header, std::string("HTTP/1.1 ") + one.status_));
            BOOST_TEST(outcome_of(header) == one.outcome_);
        }
    }
    BOOST_TEST(!target.has_pending_connection());
}

BOOST_AUTO_TEST_CASE(without_a_release_nothing_is_served)
{
    release none;
    relay vm(none);
    auto caller = vm.call();
    caller.send(get("/kits"));
    BOOST_TEST(outcome_of(caller.read_header()) == "not-run vm_not_ready");
}

// When many VMs restart, a caller that one of them refuses would find others
// that are not ready either, so calls wait for the configuration.
BOOST_AUTO_TEST_CASE(a_call_that_comes_before_the_vm_is_ready_is_served)
{
    scripted_target target;
    release none;
    relay vm(none);
    vm.path().set_ready(false);
    auto caller = vm.call();
    caller.send(post("/kits", "seven"));
    while (vm.path().statistics().calls_in_flight_ == 0)
    {
        std::this_thread::yield();
    }
    vm.path().publish(make_release({}));
    vm.path().publish(make_release({target.address()}));
    vm.path().set_ready(true);
    auto call = target.accept();
    BOOST_TEST(contains(call.read_header(), "POST /kits"));
    BOOST_TEST(call.read_bytes(5) == "seven");
    call.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    BOOST_TEST(outcome_of(caller.read_header()) == "answered");
}

BOOST_AUTO_TEST_CASE(vm_may_stop_while_calls_await_configuration)
{
    release none;
    relay vm(none);
    auto caller = vm.call();
    caller.send(get("/kits"));
    while (vm.path().statistics().calls_in_flight_ == 0)
    {
        std::this_thread::yield();
    }
    vm.end();
    BOOST_TEST(caller.read_header().empty());
}

// The target has received part of the body, so the outcome is unknown.
BOOST_AUTO_TEST_CASE(malformed_body_while_streaming_gives_outcome_unknown)
{
    scripted_target target;
    auto settings = single_thread_settings();
    settings.buffered_body_bytes_ = 4;
    relay vm(make_release({target.address()}), settings);
    auto caller = vm.call();
    caller.send("POST /kits HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked"
                "\r\n\r\n8\r\n12345678\r\n");
    auto connection = target.accept();
    connection.read_header();
    BOOST_TEST(connection.read_line() == "8\r\n");
    caller.send("xyz\r\n");
    BOOST_TEST(outcome_of(caller.read_header()) == "unknown request_malformed");
    BOOST_TEST(connection.read_to_end() == "12345678\r\n");
}

// Status 408 would tell the caller that the call has not run, and that it may
// be sent again.
BOOST_AUTO_TEST_CASE(a_pause_in_a_body_that_is_streamed_gives_outcome_unknown)
{
    scripted_target target;
    auto settings = single_thread_settings();
    settings.buffered_body_bytes_ = 4;
    settings.request_timeout_ = milliseconds(100.0);
    relay vm(make_release({target.address()}), settings);
    auto caller = vm.call();
    caller.send("POST /kits HTTP/1.1\r\nHost: h\r\nContent-Length: 16"
                "\r\n\r\n12345678");
    auto connection = target.accept();
    connection.read_header();
    BOOST_TEST(connection.read_bytes(8) == "12345678");
    const auto header = caller.read_header();
    BOOST_TEST(contains(header, "HTTP/1.1 504 "));
    BOOST_TEST(outcome_of(header) == "unknown deadline_exceeded");
    BOOST_TEST(connection.read_to_end() == "");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(home_dispatch)

namespace
{

// Publishes a fleet in which the other VM is the dispatcher VM.
void publish_dispatcher(relay& ingress, const std::string& forward_address)
{
    fleet_view fleet = make_fleet("vm-1");
    vm_description dispatcher;
    dispatcher.name_ = "vm-2";
    dispatcher.failure_domain_ = "a";
    dispatcher.forward_address_ = forward_address;
    fleet.members_ = {dispatcher};
    ingress.path().publish(fleet);
}

} // namespace

BOOST_AUTO_TEST_CASE(call_is_forwarded_to_the_dispatcher_vm)
{
    scripted_target target;
    const auto value = make_release({target.address()}, "home_dispatch");
    relay dispatcher(value, single_thread_settings("vm-2"));
    relay ingress(value, single_thread_settings("vm-1"));
    publish_dispatcher(ingress, dispatcher.path().forward_address());
    auto caller = ingress.call();
    caller.send("POST /kits HTTP/1.1\r\nHost: h\r\nAnvilturn-Call-Id: c-1\r\n"
                "Content-Length: 5\r\n\r\norder");
    auto connection = target.accept();
    const auto request = connection.read_header();
    BOOST_TEST(contains(request, "Anvilturn-Call-Id: c-1\r\n"));
    BOOST_TEST(contains(request, "Anvilturn-Depth: 1\r\n"));
    BOOST_TEST(!contains(request, "Anvilturn-Forwarded"));
    BOOST_TEST(connection.read_bytes(5) == "order");
    connection.send(
        ok("done", "Anvilturn-Load: busy=1, queued=0, slots=6\r\n"));
    const auto header = caller.read_header();
    BOOST_TEST(outcome_of(header) == "answered");
    BOOST_TEST(!contains(header, "Anvilturn-Load"));
    BOOST_TEST(caller.read_bytes(4) == "done");
    BOOST_TEST(dispatcher.path().statistics().answered_ == 1U);
    BOOST_TEST(ingress.path().statistics().forwarded_ == 1U);
}

BOOST_AUTO_TEST_CASE(dispatcher_outcome_decides_on_local_dispatch)
{
    struct dispatcher_response_case
    {
        const char* response_;
        const char* outcome_;
        bool dispatched_locally_;
    };
    const std::vector<dispatcher_response_case> cases{
        {"HTTP/1.1 503 Busy\r\nAnvilturn-Outcome: not-run\r\n"
         "Anvilturn-Reason: vm_stopping\r\nContent-Length: 0\r\n\r\n",
         "answered",
         true},
        {"HTTP/1.1 503 Busy\r\nAnvilturn-Outcome: not-run\r\n"
         "Anvilturn-Reason: vm_not_ready\r\nContent-Length: 0\r\n\r\n",
         "answered",
         true},
        {"HTTP/1.1 503 Busy\r\nAnvilturn-Outcome: not-run\r\n"
         "Anvilturn-Reason: queue_full\r\nContent-Length: 0\r\n\r\n",
         "not-run queue_full",
         false},
        {"HTTP/1.1 504 Late\r\nAnvilturn-Outcome: unknown\r\n"
         "Anvilturn-Reason: deadline_exceeded\r\nContent-Length: 0\r\n\r\n",
         "unknown deadline_exceeded",
         false},
        {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
         "unknown target_answer_malformed",
         false},
        {"HTTP/1.1 503 Busy\r\nAnvilturn-Not-Run: 1\r\n"
         "Content-Length: 0\r\n\r\n",
         "unknown target_answer_malformed",
         false},
        {"", "unknown target_answer_lost", false},
    };
    for (const auto& one : cases)
    {
        BOOST_TEST_CONTEXT(one.response_)
        {
            scripted_target target;
            scripted_target dispatcher;
            relay ingress(make_release({target.address()}, "home_dispatch"));
            publish_dispatcher(ingress, dispatcher.address());
            auto caller = ingress.call();
            caller.send(get("/kits"));
            auto forwarded = dispatcher.accept();
            const auto request = forwarded.read_header();
            BOOST_TEST(contains(request, "Anvilturn-Forwarded: 1\r\n"));
            BOOST_TEST(contains(request, "Anvilturn-Deployment: hanoi\r\n"));
            forwarded.send(one.response_);
            forwarded.close();
            if (one.dispatched_locally_)
            {
                auto connection = target.accept();
                connection.read_header();
                connection.send(ok("here"));
            }
            BOOST_TEST(outcome_of(caller.read_header()) == one.outcome_);
            BOOST_TEST(!target.has_pending_connection());
        }
    }
}

BOOST_AUTO_TEST_CASE(
    call_is_dispatched_locally_if_the_dispatcher_vm_is_unreachable)
{
    scripted_target target;
    scripted_target dispatcher;
    relay ingress(make_release({target.address()}, "home_dispatch"));
    publish_dispatcher(ingress, dispatcher.address());
    dispatcher.stop_listening();
    auto caller = ingress.call();
    caller.send(get("/kits"));
    auto connection = target.accept();
    connection.read_header();
    connection.send(ok("here"));
    BOOST_TEST(outcome_of(caller.read_header()) == "answered");
}

BOOST_AUTO_TEST_CASE(forwarded_call_is_never_forwarded_again)
{
    scripted_target target;
    scripted_target dispatcher;
    relay vm(make_release({target.address()}, "home_dispatch"));
    publish_dispatcher(vm, dispatcher.address());
    auto other_vm = vm.connect_as_vm();
    other_vm.send("GET /kits HTTP/1.1\r\nHost: h\r\nAnvilturn-Forwarded: 1\r\n"
                  "Anvilturn-Deployment: hanoi\r\n\r\n");
    auto connection = target.accept();
    connection.read_header();
    connection.send(
        ok("here", "Anvilturn-Load: busy=2, queued=1, slots=6\r\n"));
    const auto header = other_vm.read_header();
    BOOST_TEST(outcome_of(header) == "answered");
    BOOST_TEST(contains(header, "Anvilturn-Load: busy=2, queued=1, slots=6"));
    BOOST_TEST(!dispatcher.has_pending_connection());
}

BOOST_AUTO_TEST_CASE(other_deployment_is_not_served)
{
    scripted_target target;
    relay vm(make_release({target.address()}));
    auto other_vm = vm.connect_as_vm();
    other_vm.send("GET /kits HTTP/1.1\r\nHost: h\r\nAnvilturn-Forwarded: 1\r\n"
                  "Anvilturn-Deployment: other\r\n\r\n");
    BOOST_TEST(outcome_of(other_vm.read_header()) == "not-run vm_not_ready");
    BOOST_TEST(!target.has_pending_connection());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace anvilturn::test
