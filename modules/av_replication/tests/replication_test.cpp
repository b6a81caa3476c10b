#include <av_net/tests/running_context.hpp>
#include <av_replication/av_replication.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <memory>
#include <string>
#include <vector>

using namespace anvilturn;
using anvilturn::testing::running_context;

namespace
{

constexpr const char* loopback = "127.0.30.7:0";

registered_target
target(const std::string& name, store_revision revision, bool draining = false)
{
    registered_target result;
    result.spec_.name_ = name;
    result.spec_.service_ = "kits";
    result.spec_.address_ = "10.1.0.7:80";
    result.spec_.failure_domain_ = "a";
    result.spec_.draining_ = draining;
    result.spec_.incarnation_ = 17;
    result.revision_ = revision;
    return result;
}

std::shared_ptr<const release> make_release(release_version version)
{
    release value;
    value.version_ = version;
    rule_spec rule;
    rule.name_ = "kits";
    rule.host_ = "kits.example";
    rule.path_prefix_ = "/kits/";
    rule.plain_prefix_ = true;
    rule.service_ = "kits";
    rule.split_ = {{"kits", 90.0}, {"spare", 10.0}};
    rule.idempotent_ = true;
    rule.timeout_ = milliseconds(1200.0);
    rule.latency_objective_ = milliseconds(300.0);
    rule.max_attempts_ = 2;
    rule.class_ = traffic_class::bulk;
    value.rules_["kits"] = rule;
    service_spec service;
    service.name_ = "kits";
    service.health_path_ = "/healthz";
    value.services_["kits"] = service;
    return std::make_shared<const release>(value);
}

registry_update encode_and_decode(const registry_update& update)
{
    const auto frame = write_update(update);
    const std::string_view bytes = frame;
    BOOST_TEST_REQUIRE(frame_length(bytes) ==
                       bytes.size() - frame_header_bytes);
    const auto read =
        read_update(bytes.substr(frame_header_bytes), service_spec());
    BOOST_TEST_REQUIRE(read.ok());
    return *read;
}

// A watcher and a subscriber, both on one thread.
struct publisher_and_subscriber : running_context
{
    publisher_and_subscriber()
        : server_(context_,
                  "a",
                  true,
                  []
                  {
                      return milliseconds(5.0);
                  })
    {
        BOOST_TEST_REQUIRE(server_.start(loopback).ok());
    }

    void subscribe(const replication_position& position = {})
    {
        subscriber_handlers handlers;
        handlers.on_update_ = [this](const registry_update& update)
        {
            updates_.push_back(update);
            return accepts_updates_;
        };
        handlers.on_end_ = [this](const std::string& reason)
        {
            ends_.push_back(reason);
        };
        client_ = std::make_unique<registry_subscriber>(
            context_, service_spec(), std::move(handlers));
        client_->start(server_.address(), position);
    }

    registry_publisher server_;
    std::unique_ptr<registry_subscriber> client_;
    std::vector<registry_update> updates_;
    std::vector<std::string> ends_;
    bool accepts_updates_ = true;
};

} // namespace

BOOST_AUTO_TEST_SUITE(replication_suite)

BOOST_AUTO_TEST_CASE(an_update_survives_the_codec)
{
    registry_log log;
    log.epoch_ = 5;
    log.failure_domain_ = "a";
    auto expiring = target("b", 8);
    expiring.expires_at_ = milliseconds(1.0);
    record_targets(log, {{"a", target("a", 7, true)}, {"b", expiring}}, 9);
    record_release(log, make_release(3));
    const auto update = encode_and_decode(update_since(log, {}));
    BOOST_TEST(update.epoch_ == 5U);
    BOOST_TEST(update.is_snapshot_);
    BOOST_TEST(update.store_revision_ == 9U);
    BOOST_TEST(update.failure_domain_ == "a");
    BOOST_TEST_REQUIRE(update.changes_.size() == 2U);
    BOOST_TEST(
        (*update.changes_[0].object_.value_ == target("a", 7, true).spec_));
    BOOST_TEST(update.changes_[0].object_.revision_ == 7U);
    BOOST_TEST(!update.changes_[0].expiring_);
    BOOST_TEST(update.changes_[1].expiring_);
    BOOST_TEST_REQUIRE(update.release_ != nullptr);
    BOOST_TEST((*update.release_ == *make_release(3)));
}

BOOST_AUTO_TEST_CASE(malformed_messages_are_refused)
{
    for (const std::string bytes :
         {"", "x", "\xff\xff\xff\xff\xff\xff\xff\xff"})
    {
        BOOST_TEST(!read_update(bytes, service_spec()).ok());
        BOOST_TEST(!read_subscription(bytes).ok());
    }
}

// Peers may run another version or be broken: no message of theirs may end this
// VM.
RC_BOOST_PROP(mutated_messages_are_read_or_refused, ())
{
    registry_update update;
    update.release_ = make_release(7);
    for (const char* name : {"a", "b", "c"})
    {
        target_change change;
        change.object_ = {name, 3, target(name, 3).spec_, ""};
        update.changes_.push_back(change);
    }
    auto body = write_update(update).substr(frame_header_bytes);
    auto subscription =
        write_subscription({5, 6, 7, false}).substr(frame_header_bytes);
    const auto changes = *rc::gen::inRange(1, 8);
    for (int i = 0; i < changes; ++i)
    {
        for (auto* bytes : {&body, &subscription})
        {
            const auto at = *rc::gen::inRange<std::size_t>(0, bytes->size());
            (*bytes)[at] = *rc::gen::arbitrary<char>();
        }
    }
    body.resize(*rc::gen::inRange<std::size_t>(0, body.size() + 1));
    (void)read_update(body, service_spec());
    (void)read_subscription(subscription);
}

BOOST_AUTO_TEST_CASE(an_update_carries_only_a_newer_release)
{
    registry_log log;
    log.epoch_ = 5;
    record_release(log, make_release(3));
    BOOST_TEST((update_since(log, {5, 0, 2, false}).release_ != nullptr));
    BOOST_TEST((update_since(log, {5, 0, 3, false}).release_ == nullptr));
}

RC_BOOST_PROP(applying_changes_gives_the_same_targets_as_a_snapshot, ())
{
    registry_log log;
    log.epoch_ = 1;
    target_registry follower;
    replication_position position;
    store_revision revision = 0;
    const auto steps =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 64));
    std::map<std::string, registered_target> targets;
    for (const int step : steps)
    {
        const auto name = std::to_string(step % 8);
        ++revision;
        if (step >= 48)
        {
            targets.erase(name);
        }
        else
        {
            targets[name] = target(name, revision, step % 2 == 0);
        }
        record_targets(log, targets, revision);
        if (step % 3 != 0)
        {
            continue;
        }
        const auto update = update_since(log, position);
        if (update.is_snapshot_)
        {
            apply_snapshot(follower, update.changes_, milliseconds(0.0));
        }
        else
        {
            apply_changes(follower, update.changes_, milliseconds(0.0));
        }
        position = {update.epoch_, update.sequence_, 0, false};
        std::map<std::string, target_spec> expected;
        for (const auto& entry : targets)
        {
            expected[entry.first] = entry.second.spec_;
        }
        RC_ASSERT((registered_targets(follower) == expected));
    }
}

BOOST_AUTO_TEST_CASE(a_subscriber_gets_a_snapshot_and_then_changes)
{
    publisher_and_subscriber vms;
    vms.server_.publish_release(make_release(3));
    vms.server_.publish_targets({{"a", target("a", 7)}}, 7);
    vms.subscribe();
    vms.run_until(
        [&]
        {
            return !vms.updates_.empty();
        });
    BOOST_TEST(vms.updates_[0].is_snapshot_);
    BOOST_TEST_REQUIRE(vms.updates_[0].release_ != nullptr);
    vms.server_.publish_targets({}, 8);
    vms.run_until(
        [&]
        {
            return !vms.updates_.back().changes_.empty() &&
                   vms.updates_.back().changes_[0].removed_;
        });
    BOOST_TEST(!vms.updates_.back().is_snapshot_);
}

// A watcher may know the release before the targets. A VM that subscribes in
// between must get both.
BOOST_AUTO_TEST_CASE(only_status_is_sent_before_release_and_targets_are_known)
{
    publisher_and_subscriber vms;
    vms.subscribe();
    vms.run_until(
        [&]
        {
            return !vms.updates_.empty();
        });
    BOOST_TEST(vms.updates_[0].epoch_ == 0U);
    BOOST_TEST((vms.updates_[0].contents_age_ > max_contents_age));
    vms.server_.publish_release(make_release(3));
    vms.server_.publish_targets({{"a", target("a", 7)}}, 7);
    vms.run_until(
        [&]
        {
            return vms.updates_.back().epoch_ != 0;
        });
    BOOST_TEST((vms.updates_.back().release_ != nullptr));
    BOOST_TEST(vms.updates_.back().changes_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_status_query_returns_domain_and_contents_age_only)
{
    publisher_and_subscriber vms;
    vms.server_.publish_release(make_release(3));
    vms.server_.publish_targets({{"a", target("a", 7)}}, 7);
    replication_position status_query;
    status_query.status_query_only_ = true;
    vms.subscribe(status_query);
    vms.run_until(
        [&]
        {
            return !vms.updates_.empty();
        });
    BOOST_TEST(vms.updates_[0].failure_domain_ == "a");
    BOOST_TEST((vms.updates_[0].contents_age_ == milliseconds(5.0)));
    BOOST_TEST(vms.updates_[0].epoch_ == 0U);
    BOOST_TEST((vms.updates_[0].release_ == nullptr));
}

// A release with many rules, as configurations with many routes give.
BOOST_AUTO_TEST_CASE(large_updates_are_compressed)
{
    release large = *make_release(3);
    for (int i = 0; i < 2000; ++i)
    {
        auto rule = large.rules_.at("kits");
        rule.name_ = "kits.example/route-" + std::to_string(i) + "/";
        large.rules_[rule.name_] = rule;
    }
    registry_update update;
    update.release_ = std::make_shared<const release>(large);
    BOOST_TEST(write_update(update).size() < 100'000U);
    BOOST_TEST((*encode_and_decode(update).release_ == large));
}

BOOST_AUTO_TEST_CASE(rejecting_an_update_ends_the_subscription)
{
    publisher_and_subscriber vms;
    vms.accepts_updates_ = false;
    vms.subscribe();
    vms.run_until(
        [&]
        {
            return !vms.ends_.empty();
        });
    BOOST_TEST(vms.ends_.size() == 1U);
    vms.run_until(
        [&]
        {
            return vms.server_.subscribers() == 0;
        });
}

// The connections of a publisher end after it, when their handlers run. They
// must not use it then.
BOOST_AUTO_TEST_CASE(a_publisher_ends_before_its_connections)
{
    running_context loop;
    auto server =
        std::make_unique<registry_publisher>(loop.context_,
                                             "a",
                                             true,
                                             []
                                             {
                                                 return milliseconds(5.0);
                                             });
    BOOST_TEST_REQUIRE(server->start(loopback).ok());
    int updates = 0;
    int ends = 0;
    subscriber_handlers handlers;
    handlers.on_update_ = [&updates](const registry_update&)
    {
        ++updates;
        return true;
    };
    handlers.on_end_ = [&ends](const std::string&)
    {
        ++ends;
    };
    registry_subscriber client(
        loop.context_, service_spec(), std::move(handlers));
    client.start(server->address(), {});
    loop.run_until(
        [&]
        {
            return updates > 0;
        });
    server.reset();
    loop.run_until(
        [&]
        {
            return ends == 1;
        });
}

// Guards against a target that is cold again for the same time and stays warm
// for the VMs that have a watcher.
BOOST_AUTO_TEST_CASE(a_subscriber_learns_that_a_target_is_cold_again)
{
    listed_target entry;
    entry.name_ = "a";
    entry.value_ = target("a", 0).spec_;
    entry.value_->cold_for_ = milliseconds(3000.0);
    target_registry watcher;
    target_registry subscriber;
    registry_log log;
    replication_position position;
    for (const store_revision revision : {5U, 6U})
    {
        entry.revision_ = revision;
        apply_listing(watcher, {entry}, milliseconds(0.0));
        record_targets(log, watcher.entries_, revision);
        const auto update = encode_and_decode(update_since(log, position));
        apply_changes(subscriber, update.changes_, milliseconds(0.0));
        position.epoch_ = update.epoch_;
        position.sequence_ = update.sequence_;
        BOOST_TEST(registered_targets(subscriber).at("a").cold_revision_ ==
                   revision);
    }
}

BOOST_AUTO_TEST_CASE(an_invalid_watcher_address_ends_the_subscription)
{
    publisher_and_subscriber vms;
    std::vector<std::string> ends;
    subscriber_handlers handlers;
    handlers.on_update_ = [](const registry_update&)
    {
        return true;
    };
    handlers.on_end_ = [&ends](const std::string& reason)
    {
        ends.push_back(reason);
    };
    registry_subscriber client(
        vms.context_, service_spec(), std::move(handlers));
    client.start("no address", {});
    vms.run_until(
        [&]
        {
            return ends.size() == 1;
        });
}

BOOST_AUTO_TEST_SUITE_END()
