#include <av_grants/grant_codec.hpp>
#include <av_grants/grantor_order.hpp>
#include <av_net/message_frame.hpp>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <limits>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace anvilturn
{
namespace
{

permit_query make_query()
{
    permit_query query;
    query.id_ = 17;
    query.requests_.push_back({{limit_kind::account, "school"}, 5, true});
    query.requests_.push_back({{limit_kind::cold_target, "stock-1"}, 1, false});
    return query;
}

permit_reply make_reply()
{
    permit_reply reply;
    reply.id_ = 17;
    reply.entries_.resize(3);
    reply.entries_[0].known_ = true;
    reply.entries_[0].grant_ = {4, milliseconds(312.5), milliseconds(0.0)};
    reply.entries_[1].known_ = true;
    reply.entries_[1].grant_ = {0, milliseconds(100.0), milliseconds(1250.0)};
    return reply;
}

std::string body_of(const std::string& frame)
{
    return frame.substr(frame_header_bytes);
}

void mutate(std::string& bytes)
{
    const auto changes = *rc::gen::inRange(1, 8);
    for (int i = 0; i < changes; ++i)
    {
        bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] =
            *rc::gen::arbitrary<char>();
    }
    bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size() + 1));
}

BOOST_AUTO_TEST_SUITE(grant_codec_test)

// Guards against a member that is not sent: the grantor would decide on its
// default.
BOOST_AUTO_TEST_CASE(a_query_keeps_its_members)
{
    const auto sent = make_query();
    const auto frame = write_query(sent);
    BOOST_TEST(frame_length(frame) == frame.size() - frame_header_bytes);
    const auto read = read_query(body_of(frame));
    BOOST_TEST_REQUIRE(read.ok(), read.status());
    BOOST_TEST(read->id_ == sent.id_);
    BOOST_TEST_REQUIRE(read->requests_.size() == sent.requests_.size());
    for (std::size_t i = 0; i < sent.requests_.size(); ++i)
    {
        const auto& a = read->requests_[i];
        const auto& b = sent.requests_[i];
        BOOST_TEST((a.key_ == b.key_));
        BOOST_TEST(a.wanted_ == b.wanted_);
        BOOST_TEST(a.may_use_reserve_ == b.may_use_reserve_);
    }
}

// Guards against a member that is not sent: the VM would use its default.
BOOST_AUTO_TEST_CASE(a_reply_keeps_its_members)
{
    const auto sent = make_reply();
    const auto read = read_reply(body_of(write_reply(sent)));
    BOOST_TEST_REQUIRE(read.ok(), read.status());
    BOOST_TEST(read->id_ == sent.id_);
    BOOST_TEST_REQUIRE(read->entries_.size() == sent.entries_.size());
    for (std::size_t i = 0; i < sent.entries_.size(); ++i)
    {
        const auto& a = read->entries_[i];
        const auto& b = sent.entries_[i];
        BOOST_TEST(a.known_ == b.known_);
        BOOST_TEST(a.grant_.permits_ == b.grant_.permits_);
        BOOST_TEST((a.grant_.lease_ == b.grant_.lease_));
        BOOST_TEST((a.grant_.retry_after_ == b.grant_.retry_after_));
    }
}

// A negative number of permits would add to a grantor's tokens.
BOOST_AUTO_TEST_CASE(queries_with_numbers_out_of_range_are_refused)
{
    for (const int wanted : {0, -1, max_permits_per_request + 1})
    {
        auto query = make_query();
        query.requests_[0].wanted_ = wanted;
        BOOST_TEST(!read_query(body_of(write_query(query))).ok());
    }
    permit_query longest;
    longest.requests_.resize(max_requests_per_query, make_query().requests_[0]);
    BOOST_TEST(read_query(body_of(write_query(longest))).ok());
    longest.requests_.push_back(longest.requests_.front());
    BOOST_TEST(!read_query(body_of(write_query(longest))).ok());
}

// A lease that never ends would let a VM send calls above the limit for good.
BOOST_AUTO_TEST_CASE(replies_with_numbers_out_of_range_are_refused)
{
    for (const double lease : {-1.0,
                               max_grant_time.count() * 2.0,
                               std::numeric_limits<double>::infinity(),
                               std::numeric_limits<double>::quiet_NaN()})
    {
        auto reply = make_reply();
        reply.entries_[0].grant_.lease_ = milliseconds(lease);
        BOOST_TEST(!read_reply(body_of(write_reply(reply))).ok());
        reply = make_reply();
        reply.entries_[1].grant_.retry_after_ = milliseconds(lease);
        BOOST_TEST(!read_reply(body_of(write_reply(reply))).ok());
    }
    auto reply = make_reply();
    reply.entries_[0].grant_.permits_ = -1;
    BOOST_TEST(!read_reply(body_of(write_reply(reply))).ok());
}

// A longer query must not be refused because of its size.
BOOST_AUTO_TEST_CASE(the_longest_query_is_within_the_size_limit)
{
    std::mt19937 random(20261207);
    permit_query query;
    for (std::size_t i = 0; i < max_requests_per_query; ++i)
    {
        // Random letters, which compress little.
        std::string name;
        for (std::size_t at = 0; at < max_limit_name_bytes; ++at)
        {
            name += static_cast<char>(random());
        }
        query.requests_.push_back({{limit_kind::account, name}, 1, false});
    }
    const auto frame = write_query(query);
    BOOST_TEST(frame.size() <= max_grant_message_bytes);
    BOOST_TEST(read_query(body_of(frame)).ok());
}

// A newer VM may ask for limits that this version does not have; only these may
// be refused.
BOOST_AUTO_TEST_CASE(a_query_for_another_kind_of_limit_is_read)
{
    auto query = make_query();
    query.requests_[0].key_.kind_ = static_cast<limit_kind>(200);
    const auto read = read_query(body_of(write_query(query)));
    BOOST_TEST_REQUIRE(read.ok(), read.status());
    BOOST_TEST((read->requests_[0].key_.kind_ == static_cast<limit_kind>(200)));
    BOOST_TEST((read->requests_[1].key_ == query.requests_[1].key_));
}

// Peers may run another version or be broken: no message of theirs may end this
// VM, and no number of theirs may be out of range.
RC_BOOST_PROP(mutated_messages_are_read_or_refused, ())
{
    auto query = body_of(write_query(make_query()));
    mutate(query);
    if (const auto read = read_query(query); read.ok())
    {
        for (const auto& request : read->requests_)
        {
            RC_ASSERT(request.wanted_ >= 1);
            RC_ASSERT(request.wanted_ <= max_permits_per_request);
        }
    }
    auto reply = body_of(write_reply(make_reply()));
    mutate(reply);
    if (const auto read = read_reply(reply); read.ok())
    {
        for (const auto& entry : read->entries_)
        {
            RC_ASSERT(entry.grant_.permits_ >= 0);
            RC_ASSERT(entry.grant_.lease_ >= milliseconds(0.0));
            RC_ASSERT(entry.grant_.lease_ <= max_grant_time);
            RC_ASSERT(entry.grant_.retry_after_ >= milliseconds(0.0));
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(grantor_order_test)

// If the VMs began with the same grantor, it would have the load of all and the
// shares of the others would be used late.
BOOST_AUTO_TEST_CASE(vms_and_limits_are_spread_over_the_grantors)
{
    const std::vector<std::string> grantors = {
        "127.0.36.1:9", "127.0.36.2:9", "127.0.36.3:9"};
    std::map<std::size_t, int> first;
    std::map<std::size_t, int> second_after_0;
    for (int vm = 0; vm < 100; ++vm)
    {
        for (int account = 0; account < 30; ++account)
        {
            const auto order = grantor_order(
                "edge-" + std::to_string(vm),
                {limit_kind::account, "account-" + std::to_string(account)},
                grantors);
            BOOST_REQUIRE(order.size() == 3U);
            BOOST_REQUIRE(order[0] + order[1] + order[2] == 3U);
            ++first[order[0]];
            if (order[0] == 0)
            {
                ++second_after_0[order[1]];
            }
        }
    }
    for (std::size_t i = 0; i < 3; ++i)
    {
        BOOST_TEST(first[i] > 850);
        BOOST_TEST(first[i] < 1150);
    }
    BOOST_TEST(second_after_0[1] > 400);
    BOOST_TEST(second_after_0[2] > 400);
}

// Guards against VMs that list the grantors in another order and then all begin
// with the same one.
BOOST_AUTO_TEST_CASE(the_order_does_not_depend_on_that_of_the_addresses)
{
    const limit_key key{limit_kind::account, "school"};
    const std::vector<std::string> grantors = {"a:1", "b:1", "c:1"};
    const std::vector<std::string> reversed = {"c:1", "b:1", "a:1"};
    const auto order = grantor_order("vm", key, grantors);
    const auto other = grantor_order("vm", key, reversed);
    for (std::size_t i = 0; i < 3; ++i)
    {
        BOOST_TEST(grantors[order[i]] == reversed[other[i]]);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace anvilturn
