// The store's calls are scripted: each test case sets how the store answers.
// Timers are real, but no test case depends on their duration.

#include "scripted_store.hpp"

#include <av_feed/av_feed.hpp>
#include <av_feed/retry_pace.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

using namespace anvilturn;
using namespace anvilturn::testing;

namespace
{

constexpr std::chrono::seconds watchdog{20};
constexpr store_pace test_pace{
    milliseconds(5.0), milliseconds(5.0), milliseconds(5.0), milliseconds(1.0)};

// A session on a scripted store, which counts what the session reports.
struct followed_store
{
    followed_store()
        : store_(context_)
    {
        store_.put_release(3);
        for (const char* name : {"a", "b", "c", "d", "e"})
        {
            store_.put(name);
        }
        store_observer observer;
        observer.on_releases_ =
            [this](const std::vector<listed_object<release>>& objects)
        {
            releases_ += objects.size();
        };
        observer.on_target_listing_ =
            [this](const std::vector<listed_object<target_spec>>& objects)
        {
            listed_.push_back(objects.size());
        };
        observer.on_target_changes_ =
            [this](const std::vector<object_change<target_spec>>& changes)
        {
            changes_ += changes.size();
        };
        observer.on_recovery_ = [this]
        {
            ++recoveries_;
        };
        session_ = std::make_unique<store_session>(
            context_, store_.calls(), std::move(observer), test_pace);
    }

    template <typename Condition>
    void run_until(Condition condition)
    {
        const auto limit = std::chrono::steady_clock::now() + watchdog;
        while (!condition())
        {
            BOOST_TEST_REQUIRE((std::chrono::steady_clock::now() < limit));
            context_.run_one_for(std::chrono::milliseconds(100));
        }
    }

    void run_until_in_step()
    {
        run_until(
            [this]
            {
                return session_->is_in_step() && store_.targets_.watcher_ &&
                       store_.releases_.watcher_;
            });
    }

    boost::asio::io_context context_;
    scripted_store store_;
    std::unique_ptr<store_session> session_;
    std::vector<std::size_t> listed_;
    std::size_t changes_ = 0;
    std::size_t releases_ = 0;
    int recoveries_ = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(store_sessions)

BOOST_AUTO_TEST_CASE(collections_are_listed_by_pages_and_then_watched)
{
    followed_store vm;
    vm.session_->start();
    vm.run_until_in_step();
    BOOST_TEST_REQUIRE(vm.listed_.size() == 1U);
    BOOST_TEST(vm.listed_[0] == 5U);
    BOOST_TEST(vm.store_.targets_.lists_ == 3);
    BOOST_TEST(vm.releases_ == 1U);
    BOOST_TEST(vm.recoveries_ == 0);
}

BOOST_AUTO_TEST_CASE(changes_are_told_and_the_watch_goes_on)
{
    followed_store vm;
    vm.session_->start();
    vm.run_until_in_step();
    object_changes<target_spec> changes;
    changes.revision_ = 30;
    changes.changes_.resize(2);
    std::exchange(vm.store_.targets_.watcher_, nullptr)(changes);
    BOOST_TEST(vm.changes_ == 2U);
    BOOST_TEST(vm.session_->target_revision() == 30U);
    vm.run_until_in_step();
}

// The store may accept a watch from an earlier revision and yet miss changes
// that it has dropped from its history, so a watch alone is not enough.
BOOST_AUTO_TEST_CASE(after_a_failure_the_collections_are_listed_again)
{
    followed_store vm;
    vm.session_->start();
    vm.run_until_in_step();
    vm.store_.put("f");
    vm.store_.cut_watches();
    vm.run_until_in_step();
    BOOST_TEST(vm.listed_.back() == 6U);
    BOOST_TEST(vm.recoveries_ >= 1);
}

BOOST_AUTO_TEST_CASE(an_outage_costs_cheap_calls_only)
{
    followed_store vm;
    vm.session_->start();
    vm.run_until_in_step();
    vm.store_.down_ = true;
    vm.store_.cut_watches();
    const int lists = vm.store_.targets_.lists_;
    const int checks = vm.store_.checks_;
    vm.run_until(
        [&]
        {
            return vm.store_.checks_ >= checks + 5;
        });
    BOOST_TEST(vm.store_.targets_.lists_ == lists);
    BOOST_TEST(!vm.session_->is_in_step());
    vm.store_.down_ = false;
    vm.run_until_in_step();
    BOOST_TEST(vm.recoveries_ == 1);
}

BOOST_AUTO_TEST_CASE(a_store_that_went_silent_is_found_by_signs_of_life)
{
    followed_store vm;
    vm.session_->start();
    vm.run_until_in_step();
    vm.store_.down_ = true; // The pending watches get no error.
    vm.run_until(
        [&]
        {
            return !vm.session_->is_in_step();
        });
    BOOST_TEST(vm.session_->is_running());
}

// The connection of one watch is dead while new ones work, so that the checks
// succeed.
BOOST_AUTO_TEST_CASE(a_watch_that_does_not_tell_changes_is_given_up)
{
    followed_store vm;
    vm.session_->start();
    vm.run_until_in_step();
    const int checks = vm.store_.checks_;
    vm.run_until(
        [&]
        {
            return vm.store_.checks_ >= checks + 6;
        });
    BOOST_TEST(vm.store_.targets_.watches_ == 1);
    vm.store_.targets_.has_news_ = true;
    vm.run_until(
        [&]
        {
            return vm.store_.targets_.watches_ == 2;
        });
    vm.store_.targets_.has_news_ = false;
    BOOST_TEST(vm.store_.releases_.watches_ == 1);
    BOOST_TEST(vm.store_.targets_.lists_ == 3);
    BOOST_TEST(vm.recoveries_ == 0);
    object_changes<target_spec> changes;
    changes.revision_ = 90;
    changes.changes_.resize(1);
    std::exchange(vm.store_.targets_.watcher_, nullptr)(changes);
    BOOST_TEST(vm.changes_ == 1U);
}

BOOST_AUTO_TEST_CASE(forgotten_history_means_a_new_listing)
{
    followed_store vm;
    vm.store_.oldest_ = 1000;
    vm.session_->start();
    vm.run_until(
        [&]
        {
            return vm.listed_.size() >= 3;
        });
    vm.store_.oldest_ = 0;
    vm.run_until_in_step();
    BOOST_TEST(vm.recoveries_ == 0);
}

BOOST_AUTO_TEST_CASE(a_careful_start_asks_for_a_sign_of_life_first)
{
    followed_store vm;
    vm.store_.down_ = true;
    vm.session_->start_carefully();
    vm.run_until(
        [&]
        {
            return vm.store_.checks_ >= 3;
        });
    BOOST_TEST(vm.store_.targets_.lists_ == 0);
    vm.session_->stop();
    BOOST_TEST(!vm.session_->is_running());
}

BOOST_AUTO_TEST_CASE(pauses_grow_to_a_limit_and_differ)
{
    const milliseconds first(100.0);
    const milliseconds longest(300.0);
    for (int failures = 1; failures < 100; ++failures)
    {
        const auto low = retry_pause(failures, first, longest, 0.0);
        const auto high = retry_pause(failures, first, longest, 1.0);
        BOOST_TEST((low < high));
        BOOST_TEST((high <= longest * 1.5));
        BOOST_TEST((low >= retry_pause(1, first, longest, 0.0)));
    }
    BOOST_TEST((check_timeout(2) > check_timeout(1)));
}

BOOST_AUTO_TEST_SUITE_END()
