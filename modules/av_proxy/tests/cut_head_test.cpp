// Responses that end before their head, or their trailer, is complete. No
// caller may take one for a success, however short the body that it expects.

#include "relay_fixture.hpp"

using namespace anvilturn;
using namespace anvilturn::test;

namespace
{

const std::string signed_fields = "X-Call: one\r\nX-Signed: 1\r\n";
const std::string interim_response = "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n";

// A request path with one target, whose connections end after the bytes given.
class cut_responses
{
public:
    // Returns all that the caller gets.
    std::string respond(const std::string& bytes, bool resets)
    {
        auto caller = vm_.call();
        caller.send("GET /kits HTTP/1.1\r\nHost: h\r\nX-Call: one\r\n"
                    "Connection: close\r\n\r\n");
        auto connection = target_.accept();
        connection.read_header();
        connection.send(bytes);
        if (resets)
        {
            connection.reset();
        }
        else
        {
            connection.close();
        }
        return caller.read_to_end();
    }

    // Checks each response that is cut within the bytes from begin to end.
    void
    check_cuts(const std::string& response, std::size_t begin, std::size_t end)
    {
        for (auto length = begin; length < end; ++length)
        {
            BOOST_TEST_CONTEXT(length << " of " << response)
            {
                for (const bool resets : {false, true})
                {
                    const auto got =
                        respond(response.substr(0, length), resets);
                    BOOST_TEST(contains(got, "HTTP/1.1 502 "), got);
                    BOOST_TEST(!contains(got, "HTTP/1.1 200 "), got);
                }
            }
        }
    }

private:
    scripted_target target_;
    relay vm_{make_release({target_.address()}), custom_dialect_settings()};
};

} // namespace

BOOST_AUTO_TEST_SUITE(cut_heads)

// Guards against a success with an empty or short body that is framed as whole:
// the target stopped in the middle of the head and closed.
BOOST_AUTO_TEST_CASE(a_head_that_is_cut_at_any_byte_is_no_success)
{
    cut_responses responses;
    for (const std::string fields : {"Content-Length: 0\r\n",
                                     "Content-Length: 4\r\n",
                                     "Transfer-Encoding: chunked\r\n",
                                     ""})
    {
        const auto head =
            "HTTP/1.1 200 OK\r\n" + signed_fields + fields + "\r\n";
        responses.check_cuts(head, 0, head.size());
    }
    const auto head = interim_response + "HTTP/1.1 200 OK\r\n" + signed_fields +
                      "Content-Length: 0\r\n\r\n";
    responses.check_cuts(head, 0, head.size());
}

// Guards against the same where the head ends within the end of a chunked body.
BOOST_AUTO_TEST_CASE(a_trailer_that_is_cut_at_any_byte_is_no_success)
{
    cut_responses responses;
    const auto head = "HTTP/1.1 200 OK\r\n" + signed_fields +
                      "Transfer-Encoding: chunked\r\n\r\n";
    const std::string body = "4\r\nbody\r\n0\r\nSum: 7\r\n\r\n";
    responses.check_cuts(head + body, head.size(), head.size() + body.size());
}

// Guards against a load report of a response whose head was cut off: the target
// is asked again before a call is sent to it.
BOOST_AUTO_TEST_CASE(a_cut_response_to_a_load_query_reports_nothing)
{
    const auto head =
        "HTTP/1.1 200 OK\r\nAnvilturn-Load: busy=1, queued=0, slots=6\r\n"
        "Content-Length: 0\r\n\r\n" +
        std::string();
    for (const std::size_t length : {20U, 58U, 79U})
    {
        BOOST_TEST_CONTEXT(head.substr(0, length))
        {
            scripted_target target;
            auto value = make_release({target.address()}, "ask_first");
            value.services_["kits"].health_path_ = "/healthz";
            relay vm(value, custom_dialect_settings());
            auto caller = vm.call();
            caller.send("GET /kits HTTP/1.1\r\nHost: h\r\nX-Call: one\r\n\r\n");
            auto connection = target.accept();
            BOOST_TEST(contains(connection.read_header(), "GET /healthz "));
            connection.send(head.substr(0, length));
            connection.close();
            auto next = target.accept();
            BOOST_TEST(contains(next.read_header(), "GET /healthz "));
            next.send(head);
            BOOST_TEST(contains(next.read_header(), "GET /kits "));
            next.send(ok("own", signed_fields));
            BOOST_TEST(contains(caller.read_header(), "HTTP/1.1 200 OK"));
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
