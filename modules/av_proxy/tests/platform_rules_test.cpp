// Tests of what a platform with its own header names guarantees to targets and
// callers.

#include "relay_fixture.hpp"

using namespace anvilturn;
using namespace anvilturn::test;

namespace
{

release unchanged(release value)
{
    return value;
}

release with_retries(release value)
{
    value.services_["kits"].retry_ratio_ = 1.0;
    return value;
}

release with_load_queries(release value)
{
    value.services_["kits"].choice_policy_ = "ask_first";
    value.services_["kits"].health_path_ = "/healthz";
    return value;
}

release with_one_attempt(release value)
{
    value.rules_["look-ups"].max_attempts_ = 1;
    return value;
}

const std::string health_response =
    ok("", "Anvilturn-Load: busy=1, queued=0, slots=6\r\n");

std::string request(const std::string& path, const std::string& id)
{
    return "GET " + path + " HTTP/1.1\r\nHost: h\r\nX-Call: " + id + "\r\n\r\n";
}

std::string signed_response(const std::string& id, const std::string& body)
{
    return ok(body, "X-Call: " + id + "\r\nX-Signed: 1\r\n");
}

// The call "one", which has arrived at the only target.
struct one_target_call
{
    explicit one_target_call(release (*configure)(release) = unchanged)
        : vm_(configure(make_release({target_.address()})),
              custom_dialect_settings())
        , caller_(vm_.call())
        , connection_(connect())
        , header_(connection_.read_header())
    {
    }

    test_connection connect()
    {
        caller_.send(request("/kits", "one"));
        return target_.accept();
    }

    scripted_target target_;
    relay vm_;
    test_connection caller_;
    test_connection connection_;
    // What has arrived first at the target: the call or, before it, a load
    // query.
    const std::string header_;
};

// The call "one", which has arrived at one of two targets. It may be retried at
// the other one.
struct two_target_call
{
    explicit two_target_call(const std::string& path,
                             release (*configure)(release) = unchanged)
        : vm_(configure(with_retries(
                  make_release({first_.address(), second_.address()}))),
              custom_dialect_settings())
        , caller_(vm_.call())
        , called_(target_called(path))
        , other_(&called_ == &first_ ? second_ : first_)
        , connection_(called_.accept())
    {
        connection_.read_header();
    }

    scripted_target& target_called(const std::string& path)
    {
        caller_.send(request(path, "one"));
        return first_connected(first_, second_);
    }

    scripted_target first_;
    scripted_target second_;
    relay vm_;
    test_connection caller_;
    scripted_target& called_;
    scripted_target& other_;
    test_connection connection_;
};

const std::string truncated_response =
    "HTTP/1.1 200 OK\r\nX-Call: one\r\nX-Signed: 1\r\n"
    "Content-Length: 10\r\n\r\nhalf";

std::string status_line_of(const std::string& header)
{
    return header.substr(0, header.find("\r\n"));
}

} // namespace

BOOST_AUTO_TEST_SUITE(platform_rules)

BOOST_AUTO_TEST_CASE(response_to_another_call_is_skipped)
{
    one_target_call call;
    BOOST_TEST(contains(call.header_, "X-Meant-For: kits-1\r\n"));
    call.connection_.send(signed_response("zero", "of an earlier call") +
                          signed_response("one", "mine"));
    const auto header = call.caller_.read_header();
    BOOST_TEST(contains(header, "X-Call: one\r\n"));
    BOOST_TEST(call.caller_.read_bytes(4) == "mine");
}

BOOST_AUTO_TEST_CASE(a_target_that_took_over_the_address_gets_no_more_calls)
{
    scripted_target moved;
    scripted_target other;
    relay vm(with_retries(make_release({moved.address()})),
             custom_dialect_settings());
    auto caller = vm.call();
    caller.send(request("/kits", "one"));
    auto connection = moved.accept();
    connection.read_header();
    connection.send("HTTP/1.1 421 Misdirected Request\r\n"
                    "Content-Length: 0\r\n\r\n");
    const auto refused = caller.read_header();
    BOOST_TEST(status_line_of(refused) == "HTTP/1.1 503 Service Unavailable");
    caller.send(request("/kits", "two"));
    BOOST_TEST(outcome_of(caller.read_header()) ==
               "not-run no_target_available");
    BOOST_TEST(!moved.has_pending_connection());
}

BOOST_AUTO_TEST_CASE(success_without_signature_is_malformed)
{
    one_target_call call;
    call.connection_.send(ok("spoilt", "X-Call: one\r\n"));
    BOOST_TEST(outcome_of(call.caller_.read_header()) ==
               "unknown target_answer_malformed");
}

BOOST_AUTO_TEST_CASE(truncated_response_is_retried_at_another_target)
{
    two_target_call call("/kits/availability");
    call.connection_.send(truncated_response);
    call.connection_.close();
    auto retried = call.other_.accept();
    retried.read_header();
    retried.send(signed_response("one", "whole"));
    const auto header = call.caller_.read_header();
    BOOST_TEST(status_line_of(header) == "HTTP/1.1 200 OK");
    BOOST_TEST(call.caller_.read_bytes(5) == "whole");
}

BOOST_AUTO_TEST_CASE(truncated_response_to_non_idempotent_call_is_not_retried)
{
    two_target_call call("/kits/order");
    call.connection_.send(truncated_response);
    call.connection_.close();
    BOOST_TEST(status_line_of(call.caller_.read_header()) ==
               "HTTP/1.1 502 Bad Gateway");
    BOOST_TEST(!call.other_.has_pending_connection());
}

BOOST_AUTO_TEST_CASE(response_without_length_ends_at_connection_close)
{
    for (const bool clean : {true, false})
    {
        BOOST_TEST_CONTEXT((clean ? "closed" : "reset"))
        {
            one_target_call call;
            call.connection_.send("HTTP/1.1 200 OK\r\nX-Call: one\r\n"
                                  "X-Signed: 1\r\n\r\nuntil the end");
            if (clean)
            {
                call.connection_.close();
            }
            else
            {
                call.connection_.reset();
            }
            BOOST_TEST(
                status_line_of(call.caller_.read_header()) ==
                (clean ? "HTTP/1.1 200 OK" : "HTTP/1.1 502 Bad Gateway"));
        }
    }
}

BOOST_AUTO_TEST_CASE(failure_status_is_retried_at_another_target)
{
    two_target_call call("/kits/availability");
    call.connection_.send("HTTP/1.1 500 Error\r\nX-Call: one\r\nX-Signed: 1\r\n"
                          "Content-Length: 0\r\n\r\n");
    auto retried = call.other_.accept();
    retried.read_header();
    retried.send(signed_response("one", "good"));
    BOOST_TEST(status_line_of(call.caller_.read_header()) == "HTTP/1.1 200 OK");
}

BOOST_AUTO_TEST_CASE(attempts_are_limited_by_the_rule)
{
    two_target_call call("/kits/availability", with_one_attempt);
    call.connection_.close();
    BOOST_TEST(status_line_of(call.caller_.read_header()) ==
               "HTTP/1.1 502 Bad Gateway");
    BOOST_TEST(!call.other_.has_pending_connection());
}

BOOST_AUTO_TEST_CASE(the_timeout_of_a_rule_ends_a_call)
{
    scripted_target target;
    auto value = make_release({target.address()});
    value.rules_["kits"].timeout_ = milliseconds(50.0);
    relay vm(value, custom_dialect_settings());
    auto caller = vm.call();
    caller.send(request("/kits", "one"));
    auto connection = target.accept();
    connection.read_header();
    BOOST_TEST(status_line_of(caller.read_header()) ==
               "HTTP/1.1 504 Gateway Timeout");
    // The call is cancelled at the target too.
    BOOST_TEST(connection.read_to_end().empty());
}

BOOST_AUTO_TEST_CASE(targets_that_register_replace_those_of_the_release)
{
    scripted_target named;
    scripted_target registered;
    relay vm(make_release({named.address()}), custom_dialect_settings());
    target_spec spec;
    spec.name_ = "i-7";
    spec.service_ = "kits";
    spec.address_ = registered.address();
    spec.failure_domain_ = "a";
    vm.path().publish(std::map<std::string, target_spec>{{"i-7", spec}});
    auto caller = vm.call();
    caller.send(request("/kits", "one"));
    auto connection = registered.accept();
    BOOST_TEST(contains(connection.read_header(), "X-Meant-For: i-7\r\n"));
    connection.send(signed_response("one", "yes"));
    BOOST_TEST(status_line_of(caller.read_header()) == "HTTP/1.1 200 OK");
    BOOST_TEST(!named.has_pending_connection());
}

BOOST_AUTO_TEST_CASE(load_is_queried_before_a_call_is_sent)
{
    scripted_target target;
    auto value = make_release({target.address()}, "ask_first");
    value.services_["kits"].health_path_ = "/healthz";
    relay vm(value, custom_dialect_settings());
    auto caller = vm.call();
    caller.send(request("/kits", "one"));
    auto connection = target.accept();
    BOOST_TEST(contains(connection.read_header(), "GET /healthz HTTP/1.1\r\n"));
    connection.send(ok("", "Anvilturn-Load: busy=1, queued=0, slots=6\r\n"));
    BOOST_TEST(contains(connection.read_header(), "GET /kits HTTP/1.1\r\n"));
    connection.send(signed_response("one", "yes"));
    BOOST_TEST(status_line_of(caller.read_header()) == "HTTP/1.1 200 OK");
}

// The response to a load query has no call id, so a late copy was taken for the
// response to the next call on the connection: the caller got 503, which
// promises that its call has not run, while the target worked on it.
BOOST_AUTO_TEST_CASE(a_late_copy_of_a_load_response_reaches_no_call)
{
    for (const std::string status : {"503 Ill", "200 OK", "404 Not Found"})
    {
        BOOST_TEST_CONTEXT(status)
        {
            one_target_call call(with_load_queries);
            call.connection_.send(health_response);
            BOOST_TEST(contains(call.connection_.read_header(),
                                "GET /kits HTTP/1.1\r\n"));
            call.connection_.send("HTTP/1.1 " + status +
                                  "\r\nContent-Length: 0\r\n\r\n");
            call.connection_.send(signed_response("one", "yes"));
            BOOST_TEST(status_line_of(call.caller_.read_header()) ==
                       "HTTP/1.1 200 OK");
        }
    }
}

// A late copy of a refused load query can't be told from the refusal of a call,
// which would be sent to another target while this one runs it.
BOOST_AUTO_TEST_CASE(a_connection_is_not_reused_after_a_refused_load_query)
{
    one_target_call call(with_load_queries);
    call.connection_.send("HTTP/1.1 503 Busy\r\nAnvilturn-Not-Run: 1\r\n"
                          "Anvilturn-Load: busy=1, queued=0, slots=6\r\n"
                          "Content-Length: 0\r\n\r\n");
    BOOST_TEST(call.connection_.read_to_end() == "");
}

// A late copy of a response without a call id can't be told from the response
// to the next call.
BOOST_AUTO_TEST_CASE(a_connection_is_not_reused_after_a_response_without_id)
{
    one_target_call call;
    call.connection_.send(
        "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
    BOOST_TEST(status_line_of(call.caller_.read_header()) ==
               "HTTP/1.1 404 Not Found");
    call.caller_.send(request("/kits", "two"));
    BOOST_TEST(call.connection_.read_to_end() == "");
    auto fresh = call.target_.accept();
    fresh.read_header();
    fresh.send(signed_response("two", "yes"));
    BOOST_TEST(status_line_of(call.caller_.read_header()) == "HTTP/1.1 200 OK");
}

// The end of the other call's response was taken for the end of this call's,
// whose caller then got nothing at all.
BOOST_AUTO_TEST_CASE(
    a_stray_response_that_ends_with_its_connection_ends_no_call)
{
    one_target_call call;
    call.connection_.send(
        "HTTP/1.1 200 OK\r\nX-Call: zero\r\nX-Signed: 1\r\n\r\n"
        "of an earlier call");
    call.connection_.close();
    const auto header = call.caller_.read_header();
    BOOST_TEST(status_line_of(header) == "HTTP/1.1 502 Bad Gateway");
    BOOST_TEST(outcome_of(header) == "unknown target_answer_lost");
    BOOST_TEST(call.vm_.path().statistics().answered_ == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
