#include <av_core/error.hpp>
#include <av_net/tests/fixed_response_server.hpp>
#include <av_platform/av_platform.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/test/unit_test.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

using namespace anvilturn;
using namespace anvilturn::testing;

namespace
{

std::string http_response_text(const std::string& status,
                               const std::string& body,
                               const std::string& fields = "ETag: \"7\"\r\n")
{
    return "HTTP/1.1 " + status + "\r\n" + fields +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

platform_client_options options_for(const std::string& address)
{
    platform_client_options options;
    options.address_ = address;
    options.call_timeout_ = milliseconds(300.0);
    return options;
}

// Makes one call of a client to a server that answers with the bytes; returns
// the status of the call. Checks that it calls back exactly once, and later.
using client_call = std::function<void(platform_client& client,
                                       std::function<void(absl::Status)> done)>;

absl::Status run_call(const client_call& call,
                      const std::string& bytes,
                      server_behavior behavior)
{
    asio::io_context context;
    fixed_response_server server(context, bytes, behavior);
    platform_client client(context, options_for(server.address()));
    absl::Status result = absl::UnknownError("no callback");
    int callbacks = 0;
    call(client,
         [&](const absl::Status& status)
         {
             result = status;
             ++callbacks;
             server.stop();
         });
    BOOST_TEST(callbacks == 0);
    context.run();
    BOOST_TEST(callbacks == 1);
    return result;
}

void get(platform_client& client, const std::function<void(absl::Status)>& done)
{
    client.get("anvilturn/d/release",
               [done](const auto& result)
               {
                   done(result.status());
               });
}

void put(platform_client& client, const std::function<void(absl::Status)>& done)
{
    client.put("anvilturn/d/release",
               "value",
               3,
               [done](const auto& result)
               {
                   done(result.status());
               });
}

void list(platform_client& client,
          const std::function<void(absl::Status)>& done)
{
    client.list("anvilturn/",
                [done](const auto& result)
                {
                    done(result.status());
                });
}

void watch(platform_client& client,
           const std::function<void(absl::Status)>& done)
{
    client.watch("anvilturn/",
                 4,
                 milliseconds(50.0),
                 [done](const auto& result)
                 {
                     done(result.status());
                 });
}

void list_vms(platform_client& client,
              const std::function<void(absl::Status)>& done)
{
    client.list_vms(
        [done](const auto& result)
        {
            done(result.status());
        });
}

} // namespace

BOOST_AUTO_TEST_SUITE(platform_client_tests)

BOOST_AUTO_TEST_CASE(each_fault_gives_its_documented_error)
{
    using behavior = server_behavior;
    using kind = error_kind;
    struct fault_case
    {
        std::string name_;
        client_call call_;
        std::string bytes_;
        server_behavior behavior_;
        error_kind kind_;
    };
    const std::string vm = "{\"name\": \"a\", \"failure_domain\": \"d\", "
                           "\"peer_address\": \"10.0.0.1:1\", \"state\": ";
    const std::vector<fault_case> cases = {
        {"get, closed at once",
         get,
         "",
         behavior::close,
         kind::platform_unreachable},
        {"put, closed at once",
         put,
         "",
         behavior::close,
         kind::platform_answer_lost},
        {"get, no response",
         get,
         "",
         behavior::stall,
         kind::platform_unreachable},
        {"put, no response",
         put,
         "",
         behavior::stall,
         kind::platform_answer_lost},
        {"watch, no response",
         watch,
         "",
         behavior::stall,
         kind::platform_unreachable},
        {"put, truncated response",
         put,
         "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
         behavior::close,
         kind::platform_answer_lost},
        {"put, incomplete response without close",
         put,
         "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
         behavior::stall,
         kind::platform_answer_lost},
        {"get, not HTTP",
         get,
         "hello\r\n\r\n",
         behavior::close,
         kind::platform_malformed},
        {"put, not HTTP",
         put,
         "hello\r\n\r\n",
         behavior::close,
         kind::platform_malformed},
        {"get, header over the limit",
         get,
         "HTTP/1.1 200 OK\r\nX: " + std::string(20'000, 'x'),
         behavior::stall,
         kind::platform_malformed},
        {"get, body over the limit",
         get,
         http_response_text("200 OK", std::string(1'100'000, 'x')),
         behavior::keep_open,
         kind::platform_malformed},
        {"get, chunked body over the limit",
         get,
         "HTTP/1.1 200 OK\r\nETag: \"7\"\r\nTransfer-Encoding: "
         "chunked\r\n\r\n10c8e0\r\n" +
             std::string(1'100'000, 'x') + "\r\n0\r\n\r\n",
         behavior::keep_open,
         kind::platform_malformed},
        {"get, body without length over the limit",
         get,
         "HTTP/1.1 200 OK\r\nETag: \"7\"\r\n\r\n" + std::string(1'100'000, 'x'),
         behavior::close,
         kind::platform_malformed},
        {"get, no ETag",
         get,
         http_response_text("200 OK", "v", ""),
         behavior::keep_open,
         kind::platform_malformed},
        {"get, ETag without quotes",
         get,
         http_response_text("200 OK", "v", "ETag: 7\r\n"),
         behavior::keep_open,
         kind::platform_malformed},
        {"put, ETag of zero",
         put,
         http_response_text("200 OK", "", "ETag: \"0\"\r\n"),
         behavior::keep_open,
         kind::platform_malformed},
        {"get, platform unavailable",
         get,
         http_response_text("503 Service Unavailable", ""),
         behavior::keep_open,
         kind::platform_unreachable},
        {"put, platform unavailable",
         put,
         http_response_text("503 Service Unavailable", ""),
         behavior::keep_open,
         kind::platform_answer_lost},
        {"put, over the rate limit",
         put,
         http_response_text("429 Too Many", ""),
         behavior::keep_open,
         kind::platform_refused},
        {"put, too large",
         put,
         http_response_text("413 Too Large", ""),
         behavior::close,
         kind::platform_refused},
        {"put, version mismatch",
         put,
         http_response_text("412 Failed", ""),
         behavior::keep_open,
         kind::version_mismatch},
        {"list, not JSON",
         list,
         http_response_text("200 OK", "{\"revision\": "),
         behavior::keep_open,
         kind::platform_malformed},
        {"list, wrong type",
         list,
         http_response_text("200 OK", "{\"revision\": 3, \"objects\": 5}"),
         behavior::keep_open,
         kind::platform_malformed},
        {"list, negative version",
         list,
         http_response_text("200 OK",
                            "{\"revision\": 3, \"objects\": [{\"key\": \"k\", "
                            "\"version\": -1}]}"),
         behavior::keep_open,
         kind::platform_malformed},
        {"watch, no revision",
         watch,
         http_response_text("200 OK", "{\"events\": []}"),
         behavior::keep_open,
         kind::platform_malformed},
        {"list of VMs, unknown state",
         list_vms,
         http_response_text("200 OK", "{\"vms\": [" + vm + "\"gone\"}]}"),
         behavior::keep_open,
         kind::platform_malformed},
        {"list of VMs, nested too deep",
         list_vms,
         http_response_text("200 OK",
                            "{\"vms\": " + std::string(9000, '[') + "}"),
         behavior::keep_open,
         kind::platform_malformed}};
    for (const fault_case& row : cases)
    {
        BOOST_TEST_CONTEXT(row.name_)
        {
            const auto status = run_call(row.call_, row.bytes_, row.behavior_);
            BOOST_TEST((kind_of(status) == row.kind_), status);
        }
    }
}

BOOST_AUTO_TEST_CASE(an_address_without_a_listener_is_unreachable)
{
    for (const std::string address : {"127.0.20.3:1", "no address"})
    {
        asio::io_context context;
        platform_client client(context, options_for(address));
        absl::Status result;
        put(client,
            [&result](const absl::Status& status)
            {
                result = status;
            });
        context.run();
        BOOST_TEST((kind_of(result) == error_kind::platform_unreachable),
                   result);
        BOOST_TEST(client.counts().failures_ == 1u);
    }
}

BOOST_AUTO_TEST_CASE(requests_and_responses_are_as_documented)
{
    asio::io_context context;
    fixed_response_server server(context,
                                 http_response_text("200 OK", "value"),
                                 server_behavior::keep_open);
    platform_client client(context, options_for(server.address()));
    client.get("k",
               [&](const auto& first)
               {
                   BOOST_TEST_REQUIRE(first.ok());
                   BOOST_TEST((**first == platform_object{7, "value"}));
                   client.put("k",
                              "",
                              object_absent,
                              [&](const auto& second)
                              {
                                  BOOST_TEST((*second == 7u));
                                  server.stop();
                              });
               });
    context.run();
    BOOST_TEST_REQUIRE(server.requests().size() == 2u);
    BOOST_TEST(server.requests()[0].find("GET /v1/objects/k HTTP/1.1\r\n") ==
               0u);
    BOOST_TEST(server.requests()[1].find("PUT /v1/objects/k HTTP/1.1\r\n") ==
               0u);
    BOOST_TEST(server.requests()[1].find("If-None-Match: *\r\n") !=
               std::string::npos);
    const platform_call_counts counts = client.counts();
    BOOST_TEST(counts.gets_ == 1u);
    BOOST_TEST(counts.puts_ == 1u);
    BOOST_TEST(counts.failures_ == 0u);
    // The second call reused the connection of the first.
    BOOST_TEST(counts.connections_ == 1u);
}

BOOST_AUTO_TEST_CASE(reading_a_missing_object_is_not_an_error)
{
    BOOST_TEST(run_call(get,
                        http_response_text("404 Not Found", ""),
                        server_behavior::keep_open)
                   .ok());
}

BOOST_AUTO_TEST_CASE(no_callback_comes_after_the_client_is_destroyed)
{
    asio::io_context context;
    fixed_response_server server(
        context, http_response_text("200 OK", "v"), server_behavior::stall);
    int callbacks = 0;
    {
        platform_client client(context, options_for(server.address()));
        get(client,
            [&callbacks](const absl::Status&)
            {
                ++callbacks;
            });
    }
    server.stop();
    context.run();
    BOOST_TEST(callbacks == 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(platform_codec_tests)

BOOST_AUTO_TEST_CASE(listings_changes_and_vm_lists_are_parsed)
{
    asio::io_context context;
    fixed_response_server server(
        context,
        http_response_text(
            "200 OK",
            "{\"revision\":9,\"objects\":[{\"key\":\"a/b\","
            "\"version\":4}],\"events\":[{\"key\":\"a/b\","
            "\"version\":5,\"deleted\":true}],\"vms\":[{\"name\":"
            "\"v\",\"failure_domain\":\"d\",\"peer_address\":"
            "\"10.0.0.1:1\",\"state\":\"leaving\"}]}"),
        server_behavior::keep_open);
    platform_client client(context, options_for(server.address()));
    client.list("a/",
                [](const auto& listing)
                {
                    BOOST_TEST_REQUIRE(listing.ok(), listing.status());
                    BOOST_TEST((*listing == platform_listing{9, {{"a/b", 4}}}));
                });
    client.watch(
        "a/",
        8,
        milliseconds(50.0),
        [](const auto& changes)
        {
            BOOST_TEST_REQUIRE(changes.ok(), changes.status());
            BOOST_TEST((*changes == platform_changes{9, {{"a/b", 5, true}}}));
        });
    int answered = 0;
    client.list_vms(
        [&](const auto& vms)
        {
            BOOST_TEST_REQUIRE(vms.ok(), vms.status());
            BOOST_TEST(
                (vms->at(0) == platform_vm{"v", "d", "10.0.0.1:1", true}));
            ++answered;
        });
    while (answered == 0 || client.counts().connections_ < 3)
    {
        BOOST_TEST_REQUIRE(context.run_one() == 1u);
    }
    BOOST_TEST(client.counts().watches_ == 1u);
}

BOOST_AUTO_TEST_SUITE_END()
