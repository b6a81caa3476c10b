// Tests of how a VM learns of evacuations, from a scripted store or from
// watchers that listen on loopback addresses. Timers are real, but no test case
// depends on their duration.

#include "scripted_store.hpp"

#include <av_feed/registry_control.hpp>
#include <av_feed/store_session.hpp>
#include <av_net/tests/running_context.hpp>
#include <av_registry/evacuated_domains.hpp>
#include <av_replication/registry_publisher.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace anvilturn;
using anvilturn::testing::running_context;
using anvilturn::testing::scripted_store;
using anvilturn::testing::unreachable_error;

namespace
{

using names = std::set<std::string>;

constexpr store_call_intervals test_intervals{
    milliseconds(5.0), milliseconds(5.0), milliseconds(5.0), milliseconds(1.0)};
constexpr milliseconds no_expiry{1e9};
constexpr const char* own_address = "127.0.30.10:0";

// A session on a scripted store.
struct session_fixture : running_context
{
    explicit session_fixture(bool has_evacuations)
        : store_(context_)
    {
        store_.has_evacuations_ = has_evacuations;
        store_.put_release(3);
        store_.put("x");
        store_observer observer;
        observer.on_releases_ = [this](const auto& objects)
        {
            releases_ += static_cast<int>(objects.size());
        };
        observer.on_target_listing_ = [](const auto&) {};
        observer.on_target_changes_ = [this](const auto& changes)
        {
            target_changes_ += static_cast<int>(changes.size());
        };
        observer.on_evacuation_listing_ = [this](const auto& objects)
        {
            domains_ = domains_listed(objects);
        };
        observer.on_evacuation_changes_ = [this](const auto& changes)
        {
            domains_ = domains_after_changes(domains_, changes);
        };
        observer.on_answer_ = [] {};
        observer.on_current_ = [] {};
        session_ = std::make_unique<store_session>(
            context_, store_.calls(), std::move(observer), test_intervals);
        session_->start();
    }

    scripted_store store_;
    names domains_;
    int releases_ = 0;
    int target_changes_ = 0;
    std::unique_ptr<store_session> session_;
};

// What a VM's handlers were told, in order.
struct vm_fixture : running_context
{
    vm_fixture()
        : store_(context_)
    {
        store_.has_evacuations_ = true;
        store_.put_release(3);
        store_.put("x");
    }

    void start(const std::vector<std::string>& watchers)
    {
        registry_options options;
        options.failure_domain_ = "a";
        options.target_heartbeat_interval_ = no_expiry;
        options.peer_address_ = own_address;
        options.watchers_ = watchers;
        registry_handlers handlers;
        handlers.on_release_ = [](const auto&) {};
        handlers.on_targets_ = [this](const auto& targets)
        {
            // Calls could be sent to evacuated targets otherwise.
            BOOST_TEST(evacuations_known_);
            targets_ = targets.size();
        };
        handlers.on_evacuations_ = [this](const auto& domains)
        {
            evacuations_known_ = true;
            domains_ = domains;
        };
        control_ = std::make_unique<registry_control>(
            context_, options, store_.calls(), std::move(handlers));
        BOOST_TEST_REQUIRE(control_->start().ok());
    }

    scripted_store store_;
    bool evacuations_known_ = false;
    std::size_t targets_ = 0;
    names domains_;
    std::unique_ptr<registry_control> control_;
};

// A watcher with contents, and with evacuations if it publishes them.
struct scripted_watcher
{
    scripted_watcher(boost::asio::io_context& context,
                     const std::string& address)
        : server_(context,
                  "a",
                  true,
                  [this]
                  {
                      return contents_age_;
                  })
    {
        BOOST_TEST_REQUIRE(server_.start(address).ok());
        auto value = std::make_shared<release>();
        value->version_ = 3;
        server_.publish_release(std::move(value));
        std::map<std::string, registered_target> registered;
        registered["x"].spec_.name_ = "x";
        registered["x"].revision_ = 10;
        server_.publish_targets(registered, 10);
    }

    milliseconds contents_age_{5.0};
    registry_publisher server_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(evacuations_suite)

// Guards against calls to the store where evacuations are not used.
BOOST_AUTO_TEST_CASE(evacuations_are_not_called_for_unless_asked)
{
    session_fixture fixture(false);
    fixture.store_.evacuate("a");
    fixture.run_until(
        [&]
        {
            return fixture.store_.checks_ > 3;
        });
    BOOST_TEST(fixture.store_.evacuations_.lists_ == 0);
    BOOST_TEST(fixture.store_.evacuations_.watches_ == 0);
    BOOST_TEST(fixture.store_.evacuations_.checks_ == 0);
    BOOST_TEST(fixture.domains_.empty());
}

// Guards against evacuations that are not followed, and against checks that ask
// each collection for changes without need.
BOOST_AUTO_TEST_CASE(evacuations_are_listed_and_watched)
{
    session_fixture fixture(true);
    fixture.store_.evacuate("a");
    auto& evacuations = fixture.store_.evacuations_;
    fixture.run_until(
        [&]
        {
            return evacuations.pending_watch_ != nullptr;
        });
    BOOST_TEST((fixture.domains_ == names{"a"}));
    object_changes<evacuation_spec> changes;
    changes.revision_ = 30;
    changes.changes_.resize(2);
    changes.changes_[0].object_.name_ = "a";
    changes.changes_[0].removed_ = true;
    changes.changes_[1].object_.name_ = "b";
    std::exchange(evacuations.pending_watch_, nullptr)(changes);
    BOOST_TEST((fixture.domains_ == names{"b"}));
    BOOST_TEST(fixture.session_->evacuation_revision() == 30U);
    // The store has no further changes, so no collection is asked for any.
    const int checks = fixture.store_.checks_;
    fixture.run_until(
        [&]
        {
            return fixture.store_.checks_ >= checks + 3;
        });
    BOOST_TEST(evacuations.checks_ == 0);
}

// Guards against changes of one collection that are missed because its watch is
// silent and no check looks for them.
BOOST_AUTO_TEST_CASE(changes_of_each_collection_are_found_by_checks)
{
    session_fixture fixture(true);
    auto& store = fixture.store_;
    fixture.run_until(
        [&]
        {
            return store.evacuations_.pending_watch_ &&
                   store.targets_.pending_watch_ &&
                   store.releases_.pending_watch_;
        });
    for (int round = 1; round <= 3; ++round)
    {
        store.put("y" + std::to_string(round));
        store.put_release(10U + static_cast<unsigned>(round));
        store.evacuate("b" + std::to_string(round));
        fixture.run_until(
            [&]
            {
                return fixture.target_changes_ == round &&
                       fixture.releases_ == round + 1 &&
                       fixture.domains_.size() ==
                           static_cast<std::size_t>(round);
            });
    }
}

// A watch whose connection is dead reports nothing, and an evacuation must be
// known in time on a VM that has no watcher.
BOOST_AUTO_TEST_CASE(an_evacuation_that_a_watch_misses_is_known_at_once)
{
    session_fixture fixture(true);
    auto& evacuations = fixture.store_.evacuations_;
    fixture.run_until(
        [&]
        {
            return evacuations.pending_watch_ != nullptr;
        });
    const auto checks = evacuations.checks_;
    fixture.store_.evacuate("b");
    fixture.run_until(
        [&]
        {
            return fixture.domains_ == names{"b"};
        });
    BOOST_TEST(evacuations.checks_ == checks + 1);
    fixture.store_.evacuate("c");
    fixture.run_until(
        [&]
        {
            return evacuations.watches_ == 2;
        });
    BOOST_TEST((fixture.domains_ == names{"b", "c"}));
    BOOST_TEST(evacuations.checks_ == checks + 2);
}

// A VM that starts during an evacuation must not send calls before it knows.
BOOST_AUTO_TEST_CASE(targets_are_held_back_until_the_evacuations_are_known)
{
    vm_fixture vm;
    vm.store_.evacuate("b");
    vm.store_.evacuations_.silent_ = true;
    vm.start({});
    vm.run_until(
        [&]
        {
            return vm.store_.targets_.pending_watch_ &&
                   vm.control_->state().version_ == 3U;
        });
    BOOST_TEST(vm.targets_ == 0U);
    BOOST_TEST(!vm.evacuations_known_);
    BOOST_TEST(!vm.control_->state().evacuated_domains_.has_value());
    vm.store_.evacuations_.silent_ = false;
    // The call's time limit has passed.
    vm.store_.evacuations_.unanswered_list_(unreachable_error());
    vm.run_until(
        [&]
        {
            return vm.targets_ == 1U;
        });
    BOOST_TEST((vm.domains_ == names{"b"}));
    BOOST_TEST((vm.control_->state().evacuated_domains_ == names{"b"}));
}

// Guards against a VM without the store that goes on sending calls to an
// evacuated domain.
BOOST_AUTO_TEST_CASE(evacuations_are_learnt_from_a_watcher)
{
    vm_fixture vm;
    vm.store_.down_ = true;
    scripted_watcher watcher(vm.context_, "127.0.30.8:0");
    watcher.server_.publish_evacuations({"b"});
    vm.start({watcher.server_.address()});
    vm.run_until(
        [&]
        {
            return vm.targets_ == 1U;
        });
    BOOST_TEST((vm.domains_ == names{"b"}));
    watcher.server_.publish_evacuations({"b", "c"});
    vm.run_until(
        [&]
        {
            return vm.domains_ == names{"b", "c"};
        });
    watcher.server_.publish_evacuations({});
    vm.run_until(
        [&]
        {
            return vm.domains_.empty();
        });
    BOOST_TEST(vm.store_.evacuations_.lists_ == 0);
}

// During an update of the VMs, a watcher may run without evacuations.
BOOST_AUTO_TEST_CASE(a_watcher_without_evacuations_is_not_relied_on)
{
    vm_fixture vm;
    vm.store_.evacuate("b");
    scripted_watcher watcher(vm.context_, "127.0.30.8:0");
    vm.start({watcher.server_.address()});
    vm.run_until(
        [&]
        {
            return vm.targets_ == 1U;
        });
    BOOST_TEST((vm.domains_ == names{"b"}));
    BOOST_TEST(vm.control_->state().watcher_.empty());
}

// An update that is ignored, because the watcher has lost the store, may be the
// only one that names an evacuation.
BOOST_AUTO_TEST_CASE(evacuations_in_an_ignored_update_are_requested_again)
{
    vm_fixture vm;
    vm.store_.down_ = true;
    scripted_watcher watcher(vm.context_, "127.0.30.8:0");
    watcher.server_.publish_evacuations({});
    vm.start({watcher.server_.address()});
    vm.run_until(
        [&]
        {
            return vm.targets_ == 1U;
        });
    watcher.contents_age_ = milliseconds(5000.0);
    watcher.server_.publish_evacuations({"b"});
    vm.run_until(
        [&]
        {
            return vm.control_->state().watcher_.empty();
        });
    BOOST_TEST(vm.domains_.empty());
    watcher.contents_age_ = milliseconds(5.0);
    vm.run_until(
        [&]
        {
            return vm.domains_ == names{"b"};
        });
}

// The store may reject one watcher only, which has no watcher otherwise.
BOOST_AUTO_TEST_CASE(a_watcher_that_is_cut_off_learns_from_another_one)
{
    vm_fixture vm;
    vm.store_.down_ = true;
    scripted_watcher other(vm.context_, "127.0.30.8:0");
    other.server_.publish_evacuations({"b"});
    vm.start({own_address, other.server_.address()});
    vm.run_until(
        [&]
        {
            return vm.targets_ == 1U;
        });
    BOOST_TEST((vm.domains_ == names{"b"}));
    BOOST_TEST(vm.control_->state().watcher_ == other.server_.address());
    vm.store_.evacuate("c");
    vm.store_.down_ = false;
    vm.run_until(
        [&]
        {
            return vm.domains_ == names{"c"} &&
                   vm.control_->state().watcher_.empty() &&
                   other.server_.subscribers() == 0;
        });
}

BOOST_AUTO_TEST_SUITE_END()
