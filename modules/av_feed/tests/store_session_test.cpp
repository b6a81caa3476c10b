// The store's calls are scripted: each case says how the store answers. Timers
// run for real; no case depends on how long.

#include <av_feed/av_feed.hpp>
#include <av_feed/retry_pace.hpp>

#include <av_core/error.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/test/unit_test.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

using namespace anvilturn;

namespace
{

constexpr std::chrono::seconds watchdog{20};
constexpr std::size_t page_size = 2;
constexpr store_pace test_pace{
    milliseconds(5.0), milliseconds(5.0), milliseconds(1.0)};

absl::Status away()
{
    return make_error(error_kind::platform_unreachable, "scripted");
}

template <typename Value>
struct scripted_collection
{
    std::map<std::string, listed_object<Value>> objects_;
    std::function<void(absl::StatusOr<object_changes<Value>>)> watcher_;
    int lists_ = 0;
};

// A store of releases and targets that can be told to fail.
class scripted_store
{
public:
    explicit scripted_store(boost::asio::io_context& context)
        : context_(context)
    {
    }

    store_calls calls()
    {
        store_calls result;
        result.release_name_ = "main";
        result.releases_ = source(releases_);
        result.targets_ = source(targets_);
        result.check_ = [this](milliseconds, auto done)
        {
            ++checks_;
            later(
                [this, done]
                {
                    done(down_ ? away() : absl::OkStatus());
                });
        };
        result.counts_ = []
        {
            return store_call_counts();
        };
        return result;
    }

    void put(const std::string& name)
    {
        target_spec spec;
        spec.name_ = name;
        targets_.objects_[name] = {name, ++revision_, spec, ""};
    }

    void put_release(release_version version)
    {
        release value;
        value.version_ = version;
        releases_.objects_["main"] = {"main", ++revision_, value, ""};
    }

    // Ends the watches that wait, as a store does that goes away.
    void cut_watches()
    {
        if (const auto watcher = std::exchange(releases_.watcher_, nullptr))
        {
            watcher(away());
        }
        if (const auto watcher = std::exchange(targets_.watcher_, nullptr))
        {
            watcher(away());
        }
    }

    scripted_collection<release> releases_;
    scripted_collection<target_spec> targets_;
    // Watches from an earlier revision are told that history is gone.
    store_revision oldest_ = 0;
    bool down_ = false;
    int checks_ = 0;

private:
    template <typename Work>
    void later(Work work)
    {
        boost::asio::post(context_, std::move(work));
    }

    template <typename Value>
    collection_source<Value> source(scripted_collection<Value>& collection)
    {
        collection_source<Value> result;
        result.list_ = [this, &collection](const std::string& after, auto done)
        {
            ++collection.lists_;
            later(
                [this, &collection, after, done]
                {
                    done(page(collection, after));
                });
        };
        result.watch_ =
            [this, &collection](store_revision since, milliseconds, auto done)
        {
            if (!down_ && since >= oldest_)
            {
                collection.watcher_ = done;
                return;
            }
            const auto status =
                down_ ? away()
                      : make_error(error_kind::platform_history_gone, "");
            later(
                [status, done]
                {
                    done(status);
                });
        };
        return result;
    }

    template <typename Value>
    absl::StatusOr<listing_page<Value>>
    page(const scripted_collection<Value>& collection,
         const std::string& after) const
    {
        if (down_)
        {
            return away();
        }
        listing_page<Value> result;
        result.revision_ = revision_;
        auto next = collection.objects_.upper_bound(after);
        while (next != collection.objects_.end() &&
               result.objects_.size() < page_size)
        {
            result.objects_.push_back(next->second);
            ++next;
        }
        result.has_more_ = next != collection.objects_.end();
        return result;
    }

    boost::asio::io_context& context_;
    store_revision revision_ = 10;
};

// A session that follows such a store.
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

// A watch from an earlier revision may be accepted and stay deaf.
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
    vm.store_.down_ = true; // The watches that wait hear nothing of it.
    vm.run_until(
        [&]
        {
            return !vm.session_->is_in_step();
        });
    BOOST_TEST(vm.session_->is_running());
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
    const milliseconds longest(300.0);
    for (int failures = 1; failures < 100; ++failures)
    {
        const auto low = retry_pause(failures, longest, 0.0);
        const auto high = retry_pause(failures, longest, 1.0);
        BOOST_TEST((low < high));
        BOOST_TEST((high <= longest * 1.5));
        BOOST_TEST((low >= retry_pause(1, longest, 0.0)));
    }
    BOOST_TEST((check_timeout(2) > check_timeout(1)));
}

BOOST_AUTO_TEST_SUITE_END()
