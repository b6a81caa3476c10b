// Requests that a caller sends before the first one is answered.

#include "relay_fixture.hpp"

#include <map>

namespace anvilturn::test
{
namespace
{

// Idempotent, unlike other paths of the release.
std::string look_up(const std::string& name, const std::string& fields = "")
{
    return "GET /kits/availability/" + name +
           " HTTP/1.1\r\nHost: kits.example\r\n" + fields + "\r\n";
}

std::string requested_name(const std::string& header)
{
    const auto from = header.find(' ') + 1;
    const auto path = header.substr(from, header.find(' ', from) - from);
    return path.substr(path.rfind('/') + 1);
}

// Accepts as many requests, each on a connection of its own, by the last part
// of the path.
std::map<std::string, std::unique_ptr<test_connection>>
accept_requests(scripted_target& target, int count)
{
    std::map<std::string, std::unique_ptr<test_connection>> result;
    for (int i = 0; i < count; ++i)
    {
        auto connection = std::make_unique<test_connection>(target.accept());
        const auto name = requested_name(connection->read_header());
        result.emplace(name, std::move(connection));
    }
    return result;
}

void expect_body(test_connection& caller, const std::string& body)
{
    BOOST_TEST(outcome_of(caller.read_header()) == "answered");
    BOOST_TEST(caller.read_bytes(body.size()) == body);
}

// Reads a response that the VM made itself. Returns its outcome.
std::string read_local_response(test_connection& caller)
{
    const std::string field = "Content-Length: ";
    const auto header = caller.read_header();
    const auto at = header.find(field);
    BOOST_TEST_REQUIRE(at != std::string::npos);
    caller.read_bytes(std::stoul(header.substr(at + field.size())));
    return outcome_of(header);
}

// Sends as many bytes from the position on as the connection takes at once.
// Returns how many.
std::size_t send_without_waiting(test_connection& connection,
                                 const std::string& bytes,
                                 std::size_t from)
{
    auto& socket = connection.socket();
    socket.non_blocking(true);
    boost::system::error_code error;
    std::size_t sent = 0;
    while (!error && from + sent < bytes.size())
    {
        const auto left = bytes.size() - from - sent;
        sent += socket.write_some(
            boost::asio::buffer(bytes.data() + from + sent, left), error);
    }
    return sent;
}

std::uint64_t calls_in_flight(relay& vm)
{
    return static_cast<std::uint64_t>(vm.path().statistics().calls_in_flight_);
}

} // namespace

BOOST_AUTO_TEST_SUITE(pipelining)

// A slow first request must not delay the start of those behind it.
BOOST_AUTO_TEST_CASE(idempotent_requests_run_at_once_and_are_answered_in_order)
{
    scripted_target target;
    relay vm(make_release({target.address()}));
    auto caller = vm.call();
    caller.send(look_up("a") + look_up("b") + look_up("c"));
    auto running = accept_requests(target, 3);
    running.at("c")->send(ok("third"));
    running.at("b")->send(ok("second"));
    wait_until(
        [&vm]
        {
            return calls_in_flight(vm) == 1;
        });
    running.at("a")->send(ok("first"));
    expect_body(caller, "first");
    expect_body(caller, "second");
    expect_body(caller, "third");
    // The connection goes on as usual.
    caller.send(look_up("d"));
    BOOST_TEST(requested_name(running.at("a")->read_header()) == "d");
}

// If the connection ended with an earlier response, the caller would send the
// request again, so it must not have run.
BOOST_AUTO_TEST_CASE(a_non_idempotent_request_waits_for_earlier_responses)
{
    scripted_target target;
    relay vm(make_release({target.address()}));
    auto caller = vm.call();
    caller.send(look_up("a") + post("/kits/order", "one") + look_up("b"));
    auto running = accept_requests(target, 1);
    // The VM has read all of it once it serves another caller.
    auto other = vm.call();
    other.send(look_up("other"));
    auto others = accept_requests(target, 1);
    BOOST_TEST_REQUIRE(others.count("other") == 1U);
    BOOST_TEST(!target.has_pending_connection());
    running.at("a")->send(ok("first"));
    expect_body(caller, "first");
    auto& order = *running.at("a");
    BOOST_TEST(requested_name(order.read_header()) == "order");
    BOOST_TEST(order.read_bytes(3) == "one");
    // An idempotent request behind it does not wait.
    auto behind = accept_requests(target, 1);
    behind.at("b")->send(ok("third"));
    order.send(ok("second"));
    expect_body(caller, "second");
    expect_body(caller, "third");
}

BOOST_AUTO_TEST_CASE(nothing_runs_behind_a_request_that_ends_the_connection)
{
    scripted_target target;
    relay vm(make_release({target.address()}));
    auto caller = vm.call();
    caller.send(look_up("a", "Connection: close\r\n") + look_up("b"));
    auto running = accept_requests(target, 1);
    running.at("a")->send(ok("first"));
    const auto header = caller.read_header();
    BOOST_TEST(contains(header, "Connection: close\r\n"));
    BOOST_TEST(caller.read_to_end() == "first");
    BOOST_TEST(!target.has_pending_connection());
    BOOST_TEST(vm.path().statistics().answered_ == 1U);
}

BOOST_AUTO_TEST_CASE(a_caller_that_leaves_cancels_all_its_requests)
{
    scripted_target target;
    relay vm(make_release({target.address()}));
    auto caller = vm.call();
    caller.send(look_up("a") + look_up("b") + look_up("c"));
    auto running = accept_requests(target, 3);
    caller.close();
    for (auto& one : running)
    {
        BOOST_TEST(one.second->read_to_end() == "");
    }
    wait_until(
        [&vm]
        {
            return calls_in_flight(vm) == 0;
        });
    BOOST_TEST(vm.path().statistics().unknown_ == 3U);
}

// The response of one request must not be taken for that of another when the
// first one ends without a response of its target.
BOOST_AUTO_TEST_CASE(a_deadline_ends_the_first_request_only)
{
    scripted_target target;
    relay vm(make_release({target.address()}));
    auto caller = vm.call();
    caller.send(look_up("a", "Anvilturn-Deadline-Ms: 200\r\n") + look_up("b"));
    auto running = accept_requests(target, 2);
    running.at("b")->send(ok("second"));
    BOOST_TEST(read_local_response(caller) == "unknown deadline_exceeded");
    expect_body(caller, "second");
}

BOOST_AUTO_TEST_CASE(a_target_that_ends_the_first_connection_spares_the_second)
{
    scripted_target target;
    relay vm(make_release({target.address()}));
    auto caller = vm.call();
    caller.send(look_up("a") + look_up("b"));
    auto running = accept_requests(target, 2);
    running.at("a")->close();
    BOOST_TEST(read_local_response(caller) == "unknown target_answer_lost");
    running.at("b")->send(ok("second"));
    expect_body(caller, "second");
}

// The earlier responses are complete; only the broken one may look incomplete.
BOOST_AUTO_TEST_CASE(a_truncated_later_response_does_not_harm_earlier_ones)
{
    scripted_target target;
    relay vm(make_release({target.address()}));
    auto caller = vm.call();
    caller.send(look_up("a") + look_up("b"));
    auto running = accept_requests(target, 2);
    running.at("b")->send("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf");
    running.at("b")->close();
    wait_until(
        [&vm]
        {
            return calls_in_flight(vm) == 1;
        });
    running.at("a")->send(ok("first"));
    expect_body(caller, "first");
    BOOST_TEST(caller.read_to_end() == "");
    BOOST_TEST((caller.end() == boost::asio::error::connection_reset));
}

BOOST_AUTO_TEST_CASE(a_malformed_request_ends_the_connection_after_the_others)
{
    for (const std::string bad :
         {"GARBAGE\r\n\r\n", "GET /kits/availability/x HTTP/1.1\r\n\r\n"})
    {
        BOOST_TEST_CONTEXT(bad)
        {
            scripted_target target;
            relay vm(make_release({target.address()}));
            auto caller = vm.call();
            caller.send(look_up("a") + look_up("b") + bad + look_up("c"));
            auto running = accept_requests(target, 2);
            running.at("b")->send(ok("second"));
            running.at("a")->send(ok("first"));
            expect_body(caller, "first");
            expect_body(caller, "second");
            const auto header = caller.read_header();
            BOOST_TEST(contains(header, "HTTP/1.1 400 "));
            BOOST_TEST(outcome_of(header) == "not-run request_malformed");
            caller.read_to_end();
            BOOST_TEST(!target.has_pending_connection());
        }
    }
}

// A planned stop must not cut off a request that was passed to a target.
BOOST_AUTO_TEST_CASE(a_stopping_vm_answers_the_requests_that_run)
{
    scripted_target target;
    relay vm(make_release({target.address()}));
    auto caller = vm.call();
    caller.send(look_up("a") + look_up("b"));
    auto running = accept_requests(target, 2);
    vm.path().begin_drain();
    caller.send(look_up("late"));
    running.at("a")->send(ok("first"));
    const auto first = caller.read_header();
    BOOST_TEST(!contains(first, "Connection: close\r\n"));
    BOOST_TEST(caller.read_bytes(5) == "first");
    running.at("b")->send(ok("second"));
    const auto second = caller.read_header();
    BOOST_TEST(contains(second, "Connection: close\r\n"));
    BOOST_TEST(caller.read_to_end() == "second");
    BOOST_TEST(!target.has_pending_connection());
}

BOOST_AUTO_TEST_CASE(the_number_of_requests_that_run_at_once_is_limited)
{
    constexpr int limit = 4;
    scripted_target target;
    relay vm(make_release({target.address()}));
    auto caller = vm.call();
    std::string requests;
    for (const char* name : {"a", "b", "c", "d", "e", "f"})
    {
        requests += look_up(name);
    }
    caller.send(requests);
    auto running = accept_requests(target, limit);
    auto other = vm.call();
    other.send(look_up("other"));
    BOOST_TEST(accept_requests(target, 1).count("other") == 1U);
    BOOST_TEST(!target.has_pending_connection());
    running.at("a")->send(ok("first"));
    expect_body(caller, "first");
    BOOST_TEST(requested_name(running.at("a")->read_header()) == "e");
}

// What waits for an earlier response takes memory, so the VM stops reading a
// later response that is large, and begins no further requests behind it.
BOOST_AUTO_TEST_CASE(a_large_response_that_waits_is_read_only_in_part)
{
    const auto large = ok(std::string(24 * 1024 * 1024, 'k'));
    scripted_target target;
    relay vm(make_release({target.address()}));
    auto caller = vm.call();
    caller.send(look_up("a") + look_up("b"));
    auto running = accept_requests(target, 2);
    auto other = vm.call();
    other.send(look_up("other"));
    auto others = accept_requests(target, 1);
    auto& other_at_target = *others.at("other");
    // Sends until the VM takes no more, although it serves another call
    // meanwhile.
    std::size_t sent = 0;
    std::size_t sent_before = 1;
    while (sent < large.size() && sent != sent_before)
    {
        sent_before = sent;
        sent += send_without_waiting(*running.at("b"), large, sent);
        other_at_target.send(ok("one"));
        expect_body(other, "one");
        other.send(look_up("other"));
        other_at_target.read_header();
    }
    BOOST_TEST(sent < large.size());
    caller.send(look_up("c"));
    other_at_target.send(ok("one"));
    expect_body(other, "one");
    BOOST_TEST(!target.has_pending_connection());
    auto sending = std::async(std::launch::async,
                              [&]
                              {
                                  running.at("b")->socket().non_blocking(false);
                                  running.at("b")->send(large.substr(sent));
                              });
    running.at("a")->send(ok("first"));
    expect_body(caller, "first");
    const auto body = large.substr(large.find("\r\n\r\n") + 4);
    BOOST_TEST(outcome_of(caller.read_header()) == "answered");
    BOOST_TEST((caller.read_bytes(body.size()) == body));
    sending.get();
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace anvilturn::test
