// Requests that a caller sends before the first one is answered.

#include "relay_fixture.hpp"

#include <map>
#include <vector>

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

// A VM with one target, and a caller connected to it.
struct pipelining_fixture
{
    void wait_for_calls_in_flight(std::uint64_t count)
    {
        wait_until(
            [this, count]
            {
                return static_cast<std::uint64_t>(
                           vm_.path().statistics().calls_in_flight_) == count;
            });
    }

    // Sends the look-ups behind each other and returns them as the target has
    // them.
    std::map<std::string, std::unique_ptr<test_connection>>
    run(const std::vector<std::string>& names)
    {
        std::string requests;
        for (const auto& name : names)
        {
            requests += look_up(name);
        }
        caller_.send(requests);
        return accept_requests(target_, static_cast<int>(names.size()));
    }

    // Lets another caller make a call, after which the VM has read all that
    // arrived before.
    void serve_another_caller()
    {
        auto other = vm_.call();
        other.send(look_up("other"));
        auto running = accept_requests(target_, 1);
        BOOST_TEST_REQUIRE(running.count("other") == 1U);
        running.at("other")->send(ok("other"));
        expect_body(other, "other");
    }

    scripted_target target_;
    relay vm_{make_release({target_.address()})};
    test_connection caller_ = vm_.call();
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(pipelining, pipelining_fixture)

// A slow first request must not delay the start of those behind it.
BOOST_AUTO_TEST_CASE(idempotent_requests_run_at_once_and_are_answered_in_order)
{
    auto running = run({"a", "b", "c"});
    running.at("c")->send(ok("third"));
    running.at("b")->send(ok("second"));
    wait_for_calls_in_flight(1);
    running.at("a")->send(ok("first"));
    expect_body(caller_, "first");
    expect_body(caller_, "second");
    expect_body(caller_, "third");
    // The connection goes on as usual.
    caller_.send(look_up("d"));
    BOOST_TEST(requested_name(running.at("a")->read_header()) == "d");
}

// If the connection ended with an earlier response, the caller would send the
// request again, so it must not have run.
BOOST_AUTO_TEST_CASE(a_non_idempotent_request_waits_for_earlier_responses)
{
    caller_.send(look_up("a") + post("/kits/order", "one") + look_up("b"));
    auto running = accept_requests(target_, 1);
    serve_another_caller();
    BOOST_TEST(!target_.has_pending_connection());
    running.at("a")->send(ok("first"));
    expect_body(caller_, "first");
    auto& order = *running.at("a");
    BOOST_TEST(requested_name(order.read_header()) == "order");
    BOOST_TEST(order.read_bytes(3) == "one");
    // An idempotent request behind it does not wait.
    auto behind = accept_requests(target_, 1);
    behind.at("b")->send(ok("third"));
    order.send(ok("second"));
    expect_body(caller_, "second");
    expect_body(caller_, "third");
}

BOOST_AUTO_TEST_CASE(nothing_runs_behind_a_request_that_ends_the_connection)
{
    caller_.send(look_up("a", "Connection: close\r\n") + look_up("b"));
    auto running = accept_requests(target_, 1);
    running.at("a")->send(ok("first"));
    const auto header = caller_.read_header();
    BOOST_TEST(contains(header, "Connection: close\r\n"));
    BOOST_TEST(caller_.read_to_end() == "first");
    BOOST_TEST(!target_.has_pending_connection());
    BOOST_TEST(vm_.path().statistics().answered_ == 1U);
}

BOOST_AUTO_TEST_CASE(a_caller_that_leaves_cancels_all_its_requests)
{
    auto running = run({"a", "b", "c"});
    caller_.close();
    for (auto& one : running)
    {
        BOOST_TEST(one.second->read_to_end() == "");
    }
    wait_for_calls_in_flight(0);
    BOOST_TEST(vm_.path().statistics().unknown_ == 3U);
}

// The response of one request must not be taken for that of another when the
// first one ends without a response of its target.
BOOST_AUTO_TEST_CASE(a_deadline_ends_the_first_request_only)
{
    caller_.send(look_up("a", "Anvilturn-Deadline-Ms: 200\r\n") + look_up("b"));
    auto running = accept_requests(target_, 2);
    running.at("b")->send(ok("second"));
    BOOST_TEST(read_local_response(caller_) == "unknown deadline_exceeded");
    expect_body(caller_, "second");
}

BOOST_AUTO_TEST_CASE(a_target_that_ends_the_first_connection_spares_the_second)
{
    auto running = run({"a", "b"});
    running.at("a")->close();
    BOOST_TEST(read_local_response(caller_) == "unknown target_answer_lost");
    running.at("b")->send(ok("second"));
    expect_body(caller_, "second");
}

// The earlier responses are complete; only the broken one may look incomplete.
BOOST_AUTO_TEST_CASE(a_truncated_later_response_does_not_harm_earlier_ones)
{
    auto running = run({"a", "b"});
    running.at("b")->send("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf");
    running.at("b")->close();
    wait_for_calls_in_flight(1);
    running.at("a")->send(ok("first"));
    expect_body(caller_, "first");
    BOOST_TEST(caller_.read_to_end() == "");
    BOOST_TEST((caller_.end() == boost::asio::error::connection_reset));
}

BOOST_AUTO_TEST_CASE(a_malformed_request_ends_the_connection_after_the_others)
{
    for (const std::string bad :
         {"GARBAGE\r\n\r\n", "GET /kits/availability/x HTTP/1.1\r\n\r\n"})
    {
        BOOST_TEST_CONTEXT(bad)
        {
            pipelining_fixture one;
            one.caller_.send(look_up("a") + look_up("b") + bad + look_up("c"));
            auto running = accept_requests(one.target_, 2);
            running.at("b")->send(ok("second"));
            running.at("a")->send(ok("first"));
            expect_body(one.caller_, "first");
            expect_body(one.caller_, "second");
            const auto header = one.caller_.read_header();
            BOOST_TEST(contains(header, "HTTP/1.1 400 "));
            BOOST_TEST(outcome_of(header) == "not-run request_malformed");
            one.caller_.read_to_end();
            BOOST_TEST(!one.target_.has_pending_connection());
        }
    }
}

// A planned stop must not cut off a request that was passed to a target.
BOOST_AUTO_TEST_CASE(a_stopping_vm_answers_the_requests_that_run)
{
    auto running = run({"a", "b"});
    vm_.path().begin_drain(milliseconds(60000.0));
    caller_.send(look_up("late"));
    running.at("a")->send(ok("first"));
    const auto first = caller_.read_header();
    BOOST_TEST(!contains(first, "Connection: close\r\n"));
    BOOST_TEST(caller_.read_bytes(5) == "first");
    running.at("b")->send(ok("second"));
    const auto second = caller_.read_header();
    BOOST_TEST(contains(second, "Connection: close\r\n"));
    BOOST_TEST(caller_.read_to_end() == "second");
    BOOST_TEST(!target_.has_pending_connection());
}

BOOST_AUTO_TEST_CASE(the_number_of_requests_that_run_at_once_is_limited)
{
    constexpr int limit = 4;
    std::string requests;
    for (const char* name : {"a", "b", "c", "d", "e", "f"})
    {
        requests += look_up(name);
    }
    caller_.send(requests);
    auto running = accept_requests(target_, limit);
    serve_another_caller();
    BOOST_TEST(!target_.has_pending_connection());
    running.at("a")->send(ok("first"));
    expect_body(caller_, "first");
    BOOST_TEST(requested_name(running.at("a")->read_header()) == "e");
}

// The VM learns that the caller has gone by writing the second response to it;
// its thread is held up while the caller closes. A call that began after that
// would outlive the connection that owns it.
BOOST_AUTO_TEST_CASE(no_request_begins_once_the_caller_has_gone)
{
    std::promise<void> gate;
    scripted_target target;
    relay vm(make_release({target.address()}),
             single_thread_settings(),
             gate.get_future().share());
    auto caller = vm.call();
    std::string requests;
    for (const char* name : {"a", "b", "c", "d", "e"})
    {
        requests += look_up(name);
    }
    caller.send(requests);
    auto running = accept_requests(target, 4);
    for (const char* name : {"b", "c", "d"})
    {
        running.at(name)->send(ok("held"));
    }
    wait_until(
        [&vm]
        {
            return vm.path().statistics().calls_in_flight_ == 1;
        });
    running.at("a")->send(ok("first", "Anvilturn-Draining: 1\r\n"));
    vm.notice();
    caller.close();
    gate.set_value();
    wait_until(
        [&vm]
        {
            return vm.path().statistics().caller_connections_ == 0;
        });
    const auto statistics = vm.path().statistics();
    BOOST_TEST(statistics.answered_ == 4U);
    BOOST_TEST(statistics.not_run_ == 0U);
    BOOST_TEST(statistics.unknown_ == 0U);
}

// A VM that has just started refuses the first request once it has its
// configuration, and the object of that call serves the third request at once.
// A VM that went on with the first call routed the third one twice, and
// crashed.
BOOST_AUTO_TEST_CASE(requests_behind_a_refused_one_run_once_at_startup)
{
    scripted_target target;
    relay vm{release()};
    vm.path().set_ready(false);
    auto caller = vm.call();
    caller.send(get("/unknown") + look_up("a") + look_up("b"));
    wait_until(
        [&vm]
        {
            return vm.path().statistics().calls_in_flight_ == 1;
        });
    // Once this is answered, the VM has read all three requests.
    auto other = vm.call();
    other.send(get("/.anvilturn/ready"));
    BOOST_TEST(contains(other.read_header(), "HTTP/1.1 503 "));
    vm.path().publish(make_release({target.address()}));
    vm.path().set_ready(true);
    BOOST_TEST(read_local_response(caller) == "not-run service_unknown");
    auto running = accept_requests(target, 2);
    BOOST_TEST_REQUIRE(running.count("a") == 1U);
    BOOST_TEST_REQUIRE(running.count("b") == 1U);
    running.at("b")->send(ok("second"));
    running.at("a")->send(ok("first"));
    expect_body(caller, "first");
    expect_body(caller, "second");
    BOOST_TEST(!target.has_pending_connection());
    BOOST_TEST(vm.path().statistics().answered_ == 2U);
}

// What waits for an earlier response takes memory, so the VM stops reading a
// later response that is large, and begins no further requests behind it.
BOOST_AUTO_TEST_CASE(a_large_response_that_waits_is_read_only_in_part)
{
    const auto large = ok(std::string(24 * 1024 * 1024, 'k'));
    auto running = run({"a", "b"});
    auto other = vm_.call();
    other.send(look_up("other"));
    auto others = accept_requests(target_, 1);
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
    caller_.send(look_up("c"));
    other_at_target.send(ok("one"));
    expect_body(other, "one");
    BOOST_TEST(!target_.has_pending_connection());
    auto sending = std::async(std::launch::async,
                              [&]
                              {
                                  running.at("b")->socket().non_blocking(false);
                                  running.at("b")->send(large.substr(sent));
                              });
    running.at("a")->send(ok("first"));
    expect_body(caller_, "first");
    const auto body = large.substr(large.find("\r\n\r\n") + 4);
    BOOST_TEST(outcome_of(caller_.read_header()) == "answered");
    BOOST_TEST((caller_.read_bytes(body.size()) == body));
    sending.get();
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace anvilturn::test
