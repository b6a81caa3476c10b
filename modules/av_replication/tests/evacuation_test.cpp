#include <av_net/tests/running_context.hpp>
#include <av_replication/av_replication.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace anvilturn;
using anvilturn::testing::running_context;

namespace
{

using names = std::set<std::string>;

// A watcher and a subscriber, both on one thread.
struct evacuation_fixture : running_context
{
    evacuation_fixture()
        : server_(context_,
                  "a",
                  true,
                  []
                  {
                      return milliseconds(5.0);
                  })
    {
        BOOST_TEST_REQUIRE(server_.start("127.0.30.7:0").ok());
    }

    void publish_contents()
    {
        release value;
        value.version_ = 1;
        server_.publish_release(std::make_shared<const release>(value));
        std::map<std::string, registered_target> targets;
        targets["x"].spec_.name_ = "x";
        targets["x"].revision_ = 5;
        server_.publish_targets(targets, 5);
    }

    void subscribe(const replication_position& position = {})
    {
        updates_.clear();
        subscriber_handlers handlers;
        handlers.on_update_ = [this](const registry_update& update)
        {
            updates_.push_back(update);
            return true;
        };
        handlers.on_end_ = [](const std::string&) {};
        client_ = std::make_unique<registry_subscriber>(
            context_, service_spec(), std::move(handlers));
        client_->start(server_.address(), position);
    }

    void run_until_updates(std::size_t count)
    {
        run_until(
            [&]
            {
                return updates_.size() >= count;
            });
    }

    registry_publisher server_;
    std::unique_ptr<registry_subscriber> client_;
    std::vector<registry_update> updates_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(evacuation_replication_suite)

// Also a subscriber that returns and lacks no other changes may have missed an
// evacuation.
BOOST_AUTO_TEST_CASE(the_first_message_names_the_evacuations)
{
    evacuation_fixture fixture;
    fixture.server_.publish_evacuations({"b"});
    fixture.publish_contents();
    fixture.subscribe();
    fixture.run_until_updates(1);
    const auto& first = fixture.updates_[0];
    BOOST_TEST(first.is_snapshot_);
    BOOST_TEST((first.evacuated_domains_ == names{"b"}));
    replication_position position;
    position.epoch_ = first.epoch_;
    position.sequence_ = first.sequence_;
    position.release_version_ = 1;
    fixture.subscribe(position);
    fixture.run_until_updates(1);
    BOOST_TEST(!fixture.updates_[0].is_snapshot_);
    BOOST_TEST((fixture.updates_[0].evacuated_domains_ == names{"b"}));
}

// Guards against an evacuation that subscribers miss, and against heartbeats
// that grow with the evacuations.
BOOST_AUTO_TEST_CASE(changed_evacuations_are_named_and_heartbeats_name_none)
{
    evacuation_fixture fixture;
    fixture.server_.publish_evacuations({});
    fixture.publish_contents();
    fixture.subscribe();
    fixture.run_until_updates(1);
    BOOST_TEST((fixture.updates_[0].evacuated_domains_ == names{}));
    fixture.server_.publish_evacuations({"b", "c"});
    fixture.run_until_updates(2);
    BOOST_TEST((fixture.updates_[1].evacuated_domains_ == names{"b", "c"}));
    fixture.run_until_updates(3);
    BOOST_TEST(!fixture.updates_[2].evacuated_domains_.has_value());
}

// Targets without the evacuations would let calls reach evacuated ones.
BOOST_AUTO_TEST_CASE(contents_are_held_back_until_evacuations_are_known)
{
    evacuation_fixture fixture;
    fixture.server_.require_evacuations();
    fixture.publish_contents();
    fixture.subscribe();
    fixture.run_until_updates(1);
    BOOST_TEST(!fixture.updates_[0].is_snapshot_);
    BOOST_TEST(fixture.updates_[0].changes_.empty());
    fixture.server_.publish_evacuations({"b"});
    std::size_t next = 1;
    do
    {
        fixture.run_until_updates(++next);
    } while (!fixture.updates_.back().is_snapshot_);
    BOOST_TEST((fixture.updates_.back().evacuated_domains_ == names{"b"}));
}

// Guards against a subscriber that takes "not read" for "none".
BOOST_AUTO_TEST_CASE(a_watcher_without_evacuations_names_none)
{
    evacuation_fixture fixture;
    fixture.publish_contents();
    fixture.subscribe();
    fixture.run_until_updates(2);
    BOOST_TEST(!fixture.updates_[0].evacuated_domains_.has_value());
    BOOST_TEST(!fixture.updates_[1].evacuated_domains_.has_value());
}

BOOST_AUTO_TEST_SUITE_END()
