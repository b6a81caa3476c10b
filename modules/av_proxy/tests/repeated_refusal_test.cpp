// A target that writes an earlier refusal once more on a kept connection. The
// refusal says that a call has not run, so it must reach no other call: that
// one is running, and would be sent again by its caller or to another target.

#include "relay_fixture.hpp"

#include <av_routing/choice_policy.hpp>

#include <algorithm>

using namespace anvilturn;
using namespace anvilturn::test;

namespace
{

std::optional<std::size_t> choose_first_eligible(const choice_input& input)
{
    const auto& targets = input.targets_;
    const auto found = std::find_if(targets.begin(),
                                    targets.end(),
                                    [](const target_view& target)
                                    {
                                        return target.eligible_;
                                    });
    return found == targets.end()
               ? std::nullopt
               : std::optional<std::size_t>(found - targets.begin());
}

choice_policy first_eligible_policy()
{
    choice_policy policy;
    policy.name_ = "first_eligible";
    policy.choose_ = choose_first_eligible;
    return policy;
}

const plugin_registration<choice_policy>
    registered_policy(first_eligible_policy());

std::string call_to(const std::string& path, const std::string& id)
{
    return "POST " + path + " HTTP/1.1\r\nHost: h\r\nX-Call: " + id +
           "\r\nContent-Length: 5\r\n\r\nbytes";
}

std::string response_to(const std::string& id)
{
    return ok(id, "X-Call: " + id + "\r\nX-Signed: 1\r\n");
}

std::string read_call(test_connection& connection)
{
    auto header = connection.read_header();
    connection.read_bytes(5);
    return header;
}

// Two targets of which the first refuses the call "one", which runs at the
// second. Then the call "two" arrives on the first one's connection, unless
// that was closed.
struct refused_call
{
    explicit refused_call(const std::string& refusal)
        : caller_(vm_.call())
    {
        caller_.send(call_to("/kits", "one"));
        connection_ = std::make_unique<test_connection>(first_.accept());
        read_call(*connection_);
        connection_->send(refusal);
        other_ = std::make_unique<test_connection>(second_.accept());
        BOOST_TEST(contains(read_call(*other_), "X-Call: one\r\n"));
        other_->send(response_to("one"));
        BOOST_TEST(contains(caller_.read_header(), "HTTP/1.1 200 OK"));
        BOOST_TEST(caller_.read_bytes(3) == "one");
    }

    void send_second_call()
    {
        caller_.send(call_to("/kits", "two"));
    }

    // Returns the connection on which the second call has arrived.
    test_connection& second_call()
    {
        auto header = read_call(*connection_);
        if (header.empty())
        {
            connection_ = std::make_unique<test_connection>(first_.accept());
            header = read_call(*connection_);
        }
        BOOST_TEST(contains(header, "X-Call: two\r\n"));
        return *connection_;
    }

    void check_second_call_is_served()
    {
        BOOST_TEST(contains(caller_.read_header(), "HTTP/1.1 200 OK"));
        BOOST_TEST(caller_.read_bytes(3) == "two");
        BOOST_TEST(!second_.has_pending_connection());
        pollfd waiting{other_->socket().native_handle(), POLLIN, 0};
        BOOST_TEST(::poll(&waiting, 1, 0) == 0);
    }

    scripted_target first_;
    scripted_target second_;
    relay vm_{with_retries(), custom_dialect_settings()};
    test_connection caller_;
    std::unique_ptr<test_connection> connection_;
    std::unique_ptr<test_connection> other_;

private:
    release with_retries() const
    {
        auto value = make_release({first_.address(), second_.address()},
                                  "first_eligible");
        value.services_["kits"].retry_ratio_ = 1.0;
        return value;
    }
};

// Refusals as targets write them, with the id of the call and without.
std::vector<std::string> refusals()
{
    std::vector<std::string> result;
    for (const std::string status : {"503 Busy", "429 Too Many Requests"})
    {
        for (const std::string id : {"X-Call: one\r\n", ""})
        {
            for (const std::string body : {"", "full"})
            {
                result.push_back("HTTP/1.1 " + status + "\r\n" + id +
                                 "Anvilturn-Not-Run: 1\r\nContent-Length: " +
                                 std::to_string(body.size()) + "\r\n\r\n" +
                                 body);
            }
        }
    }
    return result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(repeated_refusals)

// Guards against callers that are told "not run" for a call that a target runs,
// and against such a call that runs at a second target as well.
BOOST_AUTO_TEST_CASE(a_copy_before_the_next_response_reaches_no_call)
{
    for (const auto& refusal : refusals())
    {
        for (const bool in_one_segment : {false, true})
        {
            BOOST_TEST_CONTEXT(refusal << in_one_segment)
            {
                refused_call call(refusal);
                call.send_second_call();
                auto& connection = call.second_call();
                if (contains(refusal, "X-Call"))
                {
                    connection.send(in_one_segment
                                        ? refusal + response_to("two")
                                        : refusal);
                }
                if (!in_one_segment || !contains(refusal, "X-Call"))
                {
                    connection.send(response_to("two"));
                }
                call.check_second_call_is_served();
            }
        }
    }
}

// Guards against the same where the copy comes byte by byte, as from a target
// that is late.
BOOST_AUTO_TEST_CASE(a_copy_in_pieces_reaches_no_call)
{
    const auto refusal = refusals()[1];
    refused_call call(refusal);
    call.send_second_call();
    auto& connection = call.second_call();
    for (const char byte : refusal + response_to("two"))
    {
        connection.send(std::string(1, byte));
    }
    call.check_second_call_is_served();
}

// Guards against a copy that waits on an idle connection when the next call is
// sent, or that follows the refusal at once.
BOOST_AUTO_TEST_CASE(a_copy_on_an_idle_connection_reaches_no_call)
{
    for (const auto& refusal : refusals())
    {
        for (const bool at_once : {false, true})
        {
            BOOST_TEST_CONTEXT(refusal << at_once)
            {
                refused_call call(at_once ? refusal + refusal : refusal);
                if (!at_once && contains(refusal, "X-Call"))
                {
                    call.connection_->send(refusal);
                }
                call.send_second_call();
                call.second_call().send(response_to("two"));
                call.check_second_call_is_served();
            }
        }
    }
}

// Guards against a refusal without an id after which the connection is kept, so
// that its copy would be taken for the refusal of the next call.
BOOST_AUTO_TEST_CASE(no_connection_is_kept_after_a_refusal_without_id)
{
    for (const auto& refusal : refusals())
    {
        if (!contains(refusal, "X-Call"))
        {
            refused_call call(refusal);
            BOOST_TEST(call.connection_->read_to_end() == "");
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
