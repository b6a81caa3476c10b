// Tests of VMs that subscribe to watchers, in particular while the watchers do
// not reach the store. The watchers are real and listen on loopback addresses;
// the store's calls are scripted. Timers are real, but no test case depends on
// their duration.

#include "scripted_store.hpp"

#include <av_feed/registry_control.hpp>
#include <av_net/tests/running_context.hpp>
#include <av_replication/registry_publisher.hpp>
#include <av_replication/registry_subscriber.hpp>
#include <av_replication/replication_timing.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace anvilturn;
using anvilturn::testing::running_context;
using anvilturn::testing::scripted_store;

namespace
{

constexpr milliseconds no_expiry{1e9};
constexpr milliseconds recent_contents_age{5.0};
constexpr milliseconds old_contents_age{5000.0};

// A watcher with settable contents and age of the last store response.
struct scripted_watcher
{
    scripted_watcher(boost::asio::io_context& context,
                     const std::string& address,
                     const std::string& failure_domain)
        : server_(context,
                  failure_domain,
                  true,
                  [this]
                  {
                      return contents_age_;
                  })
    {
        server_.set_relayed_contents_age(
            [this]
            {
                return std::min(contents_age_, relayed_contents_age_);
            });
        BOOST_TEST_REQUIRE(server_.start(address).ok());
    }

    void publish(release_version version,
                 const std::vector<std::string>& targets,
                 store_revision revision)
    {
        auto value = std::make_shared<release>();
        value->version_ = version;
        server_.publish_release(std::move(value));
        std::map<std::string, registered_target> registered;
        for (const auto& name : targets)
        {
            registered[name].spec_.name_ = name;
            registered[name].revision_ = revision;
        }
        server_.publish_targets(registered, revision);
    }

    milliseconds contents_age_ = recent_contents_age;
    // Time since the store answered a watcher that this one follows.
    milliseconds relayed_contents_age_ = old_contents_age;
    registry_publisher server_;
};

// A subscriber that records what the publisher at the address sends.
struct plain_subscriber
{
    plain_subscriber(boost::asio::io_context& context, std::string address)
        : address_(std::move(address))
        , client_(context, service_spec(), handlers())
    {
    }

    void subscribe(const std::string& peer_address)
    {
        replication_position position;
        position.peer_address_ = peer_address;
        client_.start(address_, position);
    }

    subscriber_handlers handlers()
    {
        subscriber_handlers result;
        result.on_update_ = [this](const registry_update& update)
        {
            record(update);
            return true;
        };
        result.on_end_ = [](const std::string&) {};
        return result;
    }

    void record(const registry_update& update)
    {
        standbys_ = update.standbys_.value_or(standbys_);
        version_ = update.release_ ? update.release_->version_ : version_;
        contents_age_ = update.contents_age_;
        age_for_subscribers_ = age_for_subscribers(update);
        answer_age_ = update.answer_age_.value_or(answer_age_);
        store_revision_ = std::max(store_revision_, update.store_revision_);
        ++updates_;
        if (update.is_snapshot_)
        {
            targets_.clear();
        }
        for (const auto& change : update.changes_)
        {
            targets_.erase(change.object_.name_);
            if (!change.removed_)
            {
                targets_.insert(change.object_.name_);
            }
        }
    }

    const std::string address_;
    std::vector<std::string> standbys_;
    std::set<std::string> targets_;
    release_version version_ = 0;
    int updates_ = 0;
    milliseconds contents_age_;
    milliseconds age_for_subscribers_;
    milliseconds answer_age_{1e9};
    store_revision store_revision_ = 0;
    registry_subscriber client_;
};

// A VM of failure domain a with one watcher there and one in domain b.
struct subscribed_vm : running_context
{
    // By default the heartbeat interval is so long that no outage lets entries
    // expire.
    explicit subscribed_vm(milliseconds heartbeat_interval = no_expiry,
                           const std::string& peer_address = "",
                           bool is_watcher = false)
        : store_(context_)
        , local_watcher_(context_, "127.0.30.8:0", "a")
        , remote_watcher_(context_, "127.0.30.9:0", "b")
    {
        store_.put_release(3);
        for (auto* watcher : {&local_watcher_, &remote_watcher_})
        {
            watcher->publish(3, {"x", "y"}, 10);
        }
        registry_options options;
        options.failure_domain_ = "a";
        options.target_heartbeat_interval_ = heartbeat_interval;
        options.peer_address_ = peer_address;
        options.watchers_ = {local_watcher_.server_.address(),
                             remote_watcher_.server_.address()};
        if (is_watcher)
        {
            options.watchers_.front() = peer_address;
        }
        registry_handlers handlers;
        handlers.on_release_ = [](const auto&) {};
        handlers.on_targets_ = [this](const auto& targets)
        {
            targets_ = targets;
        };
        control_ = std::make_unique<registry_control>(
            context_, options, store_.calls(), std::move(handlers));
        BOOST_TEST_REQUIRE(control_->start().ok());
    }

    void run_until_subscribed_to(const scripted_watcher& watcher)
    {
        run_until(
            [&]
            {
                return control_->state().watcher_ == watcher.server_.address();
            });
    }

    // From now on no watcher reaches the store.
    void cut_watchers_off()
    {
        local_watcher_.contents_age_ = old_contents_age;
        remote_watcher_.contents_age_ = old_contents_age;
    }

    void run_until_the_store_is_watched()
    {
        run_until(
            [this]
            {
                return store_.targets_.pending_watch_ != nullptr;
            });
    }

    void run_until_checked(int times)
    {
        run_until(
            [&]
            {
                return store_.checks_ >= times;
            });
    }

    scripted_store store_;
    scripted_watcher local_watcher_;
    scripted_watcher remote_watcher_;
    std::map<std::string, target_spec> targets_;
    std::unique_ptr<registry_control> control_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(registry_control_suite)

BOOST_AUTO_TEST_CASE(the_watcher_of_the_local_domain_is_chosen)
{
    subscribed_vm vm;
    vm.run_until_subscribed_to(vm.local_watcher_);
    BOOST_TEST(vm.control_->state().version_ == 3U);
    BOOST_TEST(vm.targets_.size() == 2U);
    BOOST_TEST(vm.store_.checks_ == 0);
}

// In an outage the store becomes unreachable for all watchers at once. A VM
// that left its watcher would request a snapshot from another one, over and
// over again.
BOOST_AUTO_TEST_CASE(a_vm_keeps_its_watcher_while_no_watcher_reaches_the_store)
{
    subscribed_vm vm;
    vm.run_until_subscribed_to(vm.local_watcher_);
    vm.store_.down_ = true;
    vm.cut_watchers_off();
    vm.run_until_checked(2);
    BOOST_TEST(vm.control_->state().watcher_.empty());
    vm.run_until(
        [&]
        {
            return vm.local_watcher_.server_.subscribers() == 1 &&
                   vm.remote_watcher_.server_.subscribers() == 0;
        });
    vm.store_.down_ = false;
    vm.local_watcher_.contents_age_ = recent_contents_age;
    vm.remote_watcher_.contents_age_ = recent_contents_age;
    vm.run_until_subscribed_to(vm.local_watcher_);
    BOOST_TEST(vm.control_->state().watcher_losses_ == 1U);
    BOOST_TEST(vm.store_.targets_.lists_ == 0);
}

BOOST_AUTO_TEST_CASE(
    a_watcher_that_reaches_the_store_replaces_one_that_does_not)
{
    subscribed_vm vm;
    vm.run_until_subscribed_to(vm.local_watcher_);
    vm.local_watcher_.contents_age_ = old_contents_age;
    vm.remote_watcher_.publish(4, {"x"}, 11);
    vm.run_until_subscribed_to(vm.remote_watcher_);
    BOOST_TEST(vm.control_->state().version_ == 4U);
    BOOST_TEST(vm.targets_.size() == 1U);
    vm.local_watcher_.publish(4, {"x"}, 12);
    vm.local_watcher_.contents_age_ = recent_contents_age;
    vm.run_until_subscribed_to(vm.local_watcher_);
}

// The store refuses the watchers but answers this VM.
BOOST_AUTO_TEST_CASE(a_vm_reads_the_store_itself_if_no_watcher_reaches_it)
{
    subscribed_vm vm;
    vm.run_until_subscribed_to(vm.local_watcher_);
    vm.cut_watchers_off();
    vm.store_.put_release(5);
    vm.store_.put("z");
    vm.run_until(
        [&]
        {
            return vm.control_->state().version_ == 5U;
        });
    vm.run_until(
        [&]
        {
            return vm.targets_.count("z") == 1;
        });
    // The watcher's changes don't apply to what the VM has listed itself: it
    // gets a snapshot and drops the targets that are not in it.
    vm.local_watcher_.publish(5, {"w"}, 20);
    vm.local_watcher_.contents_age_ = recent_contents_age;
    vm.run_until_subscribed_to(vm.local_watcher_);
    BOOST_TEST(vm.targets_.size() == 1U);
    BOOST_TEST(vm.targets_.count("w") == 1U);
}

// The store turns the watchers away and answers this VM. Meanwhile targets
// leave. The VM has been without an answer for a short time only, so they are
// gone and must not stay in use for the grace period after an outage.
BOOST_AUTO_TEST_CASE(
    a_target_that_left_behind_silent_watchers_is_dropped_at_once)
{
    subscribed_vm vm;
    vm.run_until_subscribed_to(vm.local_watcher_);
    vm.store_.put("x");
    vm.cut_watchers_off();
    vm.run_until_the_store_is_watched();
    BOOST_TEST(vm.targets_.count("x") == 1U);
    BOOST_TEST(vm.targets_.count("y") == 0U);
}

// After an outage long enough for entries to expire, a missing target may
// register again, so it stays in use for a grace period.
BOOST_AUTO_TEST_CASE(a_target_missing_after_a_long_outage_is_kept_at_first)
{
    subscribed_vm vm(milliseconds(1.0));
    vm.run_until_subscribed_to(vm.local_watcher_);
    vm.store_.put("x");
    vm.cut_watchers_off();
    vm.run_until_the_store_is_watched();
    BOOST_TEST(vm.targets_.count("x") == 1U);
    BOOST_TEST(vm.targets_.count("y") == 1U);
    vm.run_until(
        [&]
        {
            return vm.targets_.count("y") == 0;
        });
}

// All other VMs would read the store themselves, which costs as many calls as
// there are VMs.
BOOST_AUTO_TEST_CASE(a_standby_serves_if_no_watcher_reaches_the_store)
{
    subscribed_vm vm;
    vm.run_until_subscribed_to(vm.local_watcher_);
    scripted_watcher standby(vm.context_, "127.0.30.10:0", "a");
    standby.publish(3, {"x"}, 11);
    plain_subscriber appointed(vm.context_,
                               vm.local_watcher_.server_.address());
    appointed.subscribe(standby.server_.address());
    vm.run_until(
        [&]
        {
            return appointed.standbys_ ==
                   std::vector<std::string>{standby.server_.address()};
        });
    vm.store_.down_ = true;
    vm.cut_watchers_off();
    vm.run_until_subscribed_to(standby);
    BOOST_TEST(vm.targets_.size() == 1U);
    BOOST_TEST(vm.store_.targets_.lists_ == 0);
    // The watchers replace it when they reach the store again.
    vm.local_watcher_.publish(4, {"x"}, 12);
    vm.local_watcher_.contents_age_ = recent_contents_age;
    vm.remote_watcher_.contents_age_ = recent_contents_age;
    vm.run_until(
        [&]
        {
            return vm.control_->state().version_ == 4U;
        });
}

// A standby has the store's contents when others leave the watcher.
BOOST_AUTO_TEST_CASE(a_standby_follows_the_store_for_others)
{
    const std::string peer_address = "127.0.30.11:28711";
    subscribed_vm vm(no_expiry, peer_address);
    vm.run_until_subscribed_to(vm.local_watcher_);
    vm.store_.put_release(5);
    vm.store_.put("z");
    vm.cut_watchers_off();
    plain_subscriber other(vm.context_, peer_address);
    other.subscribe("");
    vm.run_until(
        [&]
        {
            return other.targets_ == std::set<std::string>{"z"};
        });
    BOOST_TEST(other.version_ == 5U);
    BOOST_TEST(other.standbys_.empty());
    // It stays with its watcher, which would appoint another standby otherwise,
    // even if another watcher reaches the store.
    vm.remote_watcher_.contents_age_ = recent_contents_age;
    const int watched = vm.store_.checks_;
    const int updates = other.updates_;
    vm.run_until_checked(watched + 6);
    // It asks the store about as often as it sends heartbeats, so that its
    // subscribers always have a recent answer.
    BOOST_TEST(other.updates_ - updates <= 15);
    BOOST_TEST(vm.local_watcher_.server_.subscribers() == 1U);
    BOOST_TEST(vm.remote_watcher_.server_.subscribers() == 0U);
}

BOOST_AUTO_TEST_CASE(a_standby_that_the_store_turns_away_uses_another_watcher)
{
    subscribed_vm vm(no_expiry, "127.0.30.12:28711");
    vm.run_until_subscribed_to(vm.local_watcher_);
    vm.store_.down_ = true;
    vm.remote_watcher_.publish(4, {"x"}, 11);
    vm.local_watcher_.contents_age_ = old_contents_age;
    vm.run_until_subscribed_to(vm.remote_watcher_);
    BOOST_TEST(vm.control_->state().version_ == 4U);
}

// A watcher that kept its old release would accept revoked keys for as long as
// the store turns it away.
BOOST_AUTO_TEST_CASE(a_watcher_that_the_store_turns_away_uses_another_one)
{
    subscribed_vm vm(no_expiry, "127.0.30.13:28713", true);
    vm.run_until_the_store_is_watched();
    BOOST_TEST(vm.control_->state().watcher_.empty());
    vm.store_.down_ = true;
    vm.remote_watcher_.publish(4, {"x"}, 1000);
    vm.run_until_subscribed_to(vm.remote_watcher_);
    BOOST_TEST(vm.control_->state().version_ == 4U);
    vm.remote_watcher_.publish(5, {"x"}, 1001);
    vm.run_until(
        [&]
        {
            return vm.control_->state().version_ == 5U;
        });
    // Its own subscribers keep it, whereas a watcher must not follow it.
    plain_subscriber other(vm.context_, "127.0.30.13:28713");
    other.subscribe("");
    vm.run_until(
        [&]
        {
            return other.updates_ > 0;
        });
    BOOST_TEST(other.contents_age_.count() > 500.0);
    BOOST_TEST((other.age_for_subscribers_ < max_contents_age));
    vm.store_.down_ = false;
    vm.run_until(
        [&]
        {
            return vm.control_->state().watcher_.empty();
        });
}

// Guards against subscribers that refuse a watcher as outdated: what they have
// read themselves is of a later revision, although no target has changed since.
BOOST_AUTO_TEST_CASE(a_watcher_reports_the_revision_up_to_which_it_is_current)
{
    subscribed_vm vm(no_expiry, "127.0.30.13:28715", true);
    vm.run_until_the_store_is_watched();
    plain_subscriber other(vm.context_, "127.0.30.13:28715");
    other.subscribe("");
    vm.store_.put_release(7);
    const auto revision = vm.store_.releases_.objects_["main"].revision_;
    vm.run_until(
        [&]
        {
            return other.store_revision_ == revision;
        });
    BOOST_TEST(other.version_ == 7U);
}

// Guards against subscribers that follow a watcher whose contents grow old
// while the store answers it, since nothing tells it of changes any more.
BOOST_AUTO_TEST_CASE(a_watcher_that_learns_of_no_changes_uses_another_one)
{
    subscribed_vm vm(no_expiry, "127.0.30.13:28716", true);
    vm.run_until_the_store_is_watched();
    vm.store_.targets_.refuses_lists_ = true;
    vm.store_.oldest_revision_ = 1000;
    vm.store_.fail_watches();
    vm.remote_watcher_.publish(4, {"x"}, 1000);
    vm.run_until_subscribed_to(vm.remote_watcher_);
    BOOST_TEST(vm.control_->state().version_ == 4U);
    const auto state = vm.control_->state();
    BOOST_TEST((state.current_at_ > milliseconds(0.0)));
    plain_subscriber other(vm.context_, "127.0.30.13:28716");
    other.subscribe("");
    vm.run_until(
        [&]
        {
            return other.updates_ > 0;
        });
    BOOST_TEST(other.contents_age_.count() > 500.0);
    BOOST_TEST((other.age_for_subscribers_ < max_contents_age));
    // The store answers all the while, so no target's entry can have expired.
    BOOST_TEST((other.answer_age_ < max_contents_age));
    vm.store_.targets_.refuses_lists_ = false;
    vm.store_.oldest_revision_ = 0;
    vm.run_until(
        [&]
        {
            return vm.control_->state().watcher_.empty();
        });
}

// A VM that the store turns away, as it does its watcher, would otherwise
// search for other watchers until their backoff is over, and accept revoked
// keys or call removed targets for as long.
BOOST_AUTO_TEST_CASE(a_vm_keeps_a_watcher_that_follows_another_one)
{
    subscribed_vm vm;
    vm.run_until_subscribed_to(vm.local_watcher_);
    vm.store_.down_ = true;
    vm.cut_watchers_off();
    vm.run_until_checked(1);
    vm.local_watcher_.relayed_contents_age_ = recent_contents_age;
    vm.run_until_subscribed_to(vm.local_watcher_);
    vm.local_watcher_.publish(4, {"x"}, 11);
    vm.run_until(
        [&]
        {
            return vm.control_->state().version_ == 4U;
        });
    // The age at the other watcher, and the time until its next heartbeat.
    vm.local_watcher_.relayed_contents_age_ =
        max_contents_age + replication_heartbeat_interval * 0.5;
    vm.local_watcher_.publish(5, {"x"}, 12);
    vm.run_until(
        [&]
        {
            return vm.control_->state().version_ == 5U;
        });
    BOOST_TEST((vm.local_watcher_.contents_age_ == old_contents_age));
}

// Guards against watchers without the store that follow each other, and take
// each other's old state for the newest.
BOOST_AUTO_TEST_CASE(watchers_do_not_follow_one_that_does_not_reach_the_store)
{
    subscribed_vm vm(no_expiry, "127.0.30.13:28714", true);
    vm.run_until_the_store_is_watched();
    vm.remote_watcher_.contents_age_ = old_contents_age;
    // Not even if it follows a third one.
    vm.remote_watcher_.relayed_contents_age_ = recent_contents_age;
    vm.remote_watcher_.publish(4, {"x"}, 1000);
    vm.store_.down_ = true;
    const int checks = vm.store_.checks_;
    vm.run_until_checked(checks + 6);
    BOOST_TEST(vm.control_->state().version_ == 3U);
    BOOST_TEST(vm.control_->state().watcher_.empty());
}

// Changes from a watcher that does not reach the store are ignored, so later
// ones can't be applied without a snapshot.
BOOST_AUTO_TEST_CASE(a_snapshot_replaces_updates_ignored_during_an_outage)
{
    subscribed_vm vm;
    vm.run_until_subscribed_to(vm.local_watcher_);
    vm.store_.down_ = true;
    vm.cut_watchers_off();
    vm.run_until_checked(1);
    vm.local_watcher_.publish(3, {"y"}, 11);
    vm.run_until_checked(2);
    vm.local_watcher_.publish(3, {"y", "z"}, 12);
    vm.local_watcher_.contents_age_ = recent_contents_age;
    vm.run_until_subscribed_to(vm.local_watcher_);
    BOOST_TEST(vm.targets_.size() == 2U);
    BOOST_TEST(vm.targets_.count("x") == 0U);
    BOOST_TEST(vm.targets_.count("z") == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
