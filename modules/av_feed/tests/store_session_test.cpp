// The store's calls are scripted: each test case sets how the store answers.
// Timers are real, but no test case depends on their duration.

#include "scripted_store.hpp"

#include <av_feed/av_feed.hpp>
#include <av_feed/retry_backoff.hpp>
#include <av_net/tests/running_context.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include <functional>
#include <map>
#include <memory>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

using namespace anvilturn;
using namespace anvilturn::testing;

namespace
{

constexpr store_call_intervals test_intervals{
    milliseconds(5.0), milliseconds(5.0), milliseconds(5.0), milliseconds(1.0)};

// A session on a scripted store, which counts what the session reports.
struct session_fixture : running_context
{
    session_fixture()
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
            BOOST_TEST(std::exchange(answered_, false));
            releases_ += objects.size();
        };
        observer.on_target_listing_ =
            [this](const std::vector<listed_object<target_spec>>& objects)
        {
            BOOST_TEST(std::exchange(answered_, false));
            listing_sizes_.push_back(objects.size());
            if (std::exchange(listing_fails_, false))
            {
                throw std::runtime_error("scripted");
            }
        };
        observer.on_target_changes_ =
            [this](const std::vector<object_change<target_spec>>& changes)
        {
            BOOST_TEST(std::exchange(answered_, false));
            changes_ += changes.size();
            for (const auto& change : changes)
            {
                removals_ += change.removed_ ? 1 : 0;
            }
        };
        observer.on_answer_ = [this]
        {
            ++answers_;
            answered_ = true;
        };
        observer.on_current_ = [this]
        {
            BOOST_TEST((session_->current_at() > current_at_));
            current_at_ = session_->current_at();
        };
        session_ = std::make_unique<store_session>(
            context_, store_.calls(), std::move(observer), test_intervals);
    }

    void run_until_synced()
    {
        run_until(
            [this]
            {
                return session_->is_synced() &&
                       store_.targets_.pending_watch_ &&
                       store_.releases_.pending_watch_;
            });
    }

    scripted_store store_;
    std::unique_ptr<store_session> session_;
    std::vector<std::size_t> listing_sizes_;
    std::size_t changes_ = 0;
    std::size_t releases_ = 0;
    int removals_ = 0;
    int answers_ = 0;
    milliseconds current_at_;
    // Whether an answer was reported since the last contents: each of the
    // contents must follow the report of its own answer.
    bool answered_ = false;
    // Whether the observer fails at the next listing.
    bool listing_fails_ = false;
};

} // namespace

BOOST_AUTO_TEST_SUITE(store_session_suite)

BOOST_AUTO_TEST_CASE(collections_are_listed_by_pages_and_then_watched)
{
    session_fixture fixture;
    fixture.session_->start();
    fixture.run_until_synced();
    BOOST_TEST_REQUIRE(fixture.listing_sizes_.size() == 1U);
    BOOST_TEST(fixture.listing_sizes_[0] == 5U);
    BOOST_TEST(fixture.store_.targets_.lists_ == 3);
    BOOST_TEST(fixture.releases_ == 1U);
    // One for each collection; the answer of a check may have come too.
    BOOST_TEST(fixture.answers_ >= 2);
}

BOOST_AUTO_TEST_CASE(changes_are_reported_and_the_watch_is_renewed)
{
    session_fixture fixture;
    fixture.session_->start();
    fixture.run_until_synced();
    object_changes<target_spec> changes;
    changes.revision_ = 30;
    changes.changes_.resize(2);
    std::exchange(fixture.store_.targets_.pending_watch_, nullptr)(changes);
    BOOST_TEST(fixture.changes_ == 2U);
    BOOST_TEST(fixture.session_->target_revision() == 30U);
    fixture.run_until_synced();
}

// The store may accept a watch from an earlier revision and yet miss changes
// that it has dropped from its history, so a watch alone is not enough.
BOOST_AUTO_TEST_CASE(after_a_failure_the_collections_are_listed_again)
{
    session_fixture fixture;
    fixture.session_->start();
    fixture.run_until_synced();
    fixture.store_.put("f");
    const int answers = fixture.answers_;
    fixture.store_.fail_watches();
    fixture.run_until_synced();
    BOOST_TEST(fixture.listing_sizes_.back() == 6U);
    // Those of both listings, which no check precedes.
    BOOST_TEST(fixture.answers_ >= answers + 2);
}

BOOST_AUTO_TEST_CASE(an_outage_causes_check_calls_only)
{
    session_fixture fixture;
    fixture.session_->start();
    fixture.run_until_synced();
    fixture.store_.down_ = true;
    fixture.store_.fail_watches();
    const int lists = fixture.store_.targets_.lists_;
    const int checks = fixture.store_.checks_;
    const int answers = fixture.answers_;
    fixture.run_until(
        [&]
        {
            return fixture.store_.checks_ >= checks + 5;
        });
    BOOST_TEST(fixture.store_.targets_.lists_ == lists);
    BOOST_TEST(!fixture.session_->is_synced());
    BOOST_TEST(fixture.answers_ == answers);
    fixture.store_.down_ = false;
    fixture.run_until_synced();
    BOOST_TEST(fixture.answers_ >= answers + 3);
}

BOOST_AUTO_TEST_CASE(a_store_that_stops_answering_is_detected_by_checks)
{
    session_fixture fixture;
    fixture.session_->start();
    fixture.run_until_synced();
    fixture.store_.down_ = true; // The pending watches get no error.
    fixture.run_until(
        [&]
        {
            return !fixture.session_->is_synced();
        });
    BOOST_TEST(fixture.session_->is_running());
}

// Guards against calls to targets that left, on a VM whose watch is silent: its
// connection is dead while others work. The check that finds a change must
// bring it, and not only open another watch.
BOOST_AUTO_TEST_CASE(a_check_brings_what_a_silent_watch_misses)
{
    session_fixture fixture;
    fixture.session_->start();
    fixture.run_until_synced();
    const int checks = fixture.store_.checks_;
    fixture.run_until(
        [&]
        {
            return fixture.store_.checks_ >= checks + 6;
        });
    auto& targets = fixture.store_.targets_;
    BOOST_TEST(targets.watches_ == 1);
    BOOST_TEST(targets.checks_ == 0);
    fixture.store_.remove("b");
    fixture.run_until(
        [&]
        {
            return fixture.changes_ == 1;
        });
    BOOST_TEST(targets.checks_ == 1);
    BOOST_TEST(targets.watches_ == 1);
    fixture.store_.remove("c");
    fixture.run_until(
        [&]
        {
            return fixture.changes_ == 2;
        });
    BOOST_TEST(targets.checks_ == 2);
    // The watch is replaced, and a late report of the old one changes nothing.
    const auto old_watch = targets.pending_watch_;
    fixture.run_until(
        [&]
        {
            return targets.watches_ == 2;
        });
    BOOST_TEST(fixture.store_.releases_.watches_ == 1);
    BOOST_TEST(targets.lists_ == 3);
    object_changes<target_spec> changes;
    changes.revision_ = 90;
    changes.changes_.resize(1);
    old_watch(changes);
    BOOST_TEST(fixture.changes_ == 2U);
    std::exchange(targets.pending_watch_, nullptr)(changes);
    BOOST_TEST(fixture.changes_ == 3U);
}

// Guards against a target that comes back into use: a read beside the watch has
// brought its removal before the watch reports what was earlier.
BOOST_AUTO_TEST_CASE(a_report_that_was_overtaken_changes_nothing)
{
    session_fixture fixture;
    fixture.session_->start();
    fixture.run_until_synced();
    fixture.store_.put("f");
    const auto& object = fixture.store_.targets_.objects_["f"];
    object_changes<target_spec> overtaken;
    overtaken.revision_ = object.revision_;
    overtaken.changes_.push_back({object, false, false});
    fixture.store_.remove("f");
    fixture.run_until(
        [&]
        {
            return fixture.removals_ == 1;
        });
    const auto changes = fixture.changes_;
    auto& targets = fixture.store_.targets_;
    std::exchange(targets.pending_watch_, nullptr)(overtaken);
    BOOST_TEST(fixture.changes_ == changes);
    fixture.run_until_synced();
    BOOST_TEST(targets.watches_ == 2);
    BOOST_TEST(fixture.store_.targets_.lists_ == 3);
}

// Guards against an age of the contents that stays small while they grow old:
// answers of the store that say nothing of a collection prove nothing about it.
BOOST_AUTO_TEST_CASE(answers_of_other_kinds_don_t_make_contents_current)
{
    session_fixture fixture;
    fixture.session_->start();
    fixture.run_until_synced();
    fixture.store_.targets_.refuses_lists_ = true;
    fixture.store_.oldest_revision_ = 1000; // Nor are changes to be had.
    fixture.store_.fail_watches();
    const auto run_for_answers = [&](int count)
    {
        const int answers = fixture.answers_;
        fixture.run_until(
            [&]
            {
                return fixture.answers_ >= answers + count;
            });
    };
    // Those of the other collection, and of the first checks.
    run_for_answers(3);
    const auto current_at = fixture.session_->current_at();
    run_for_answers(10);
    BOOST_TEST((fixture.session_->current_at() == current_at));
    fixture.store_.targets_.refuses_lists_ = false;
    fixture.store_.oldest_revision_ = 0;
    fixture.run_until_synced();
    BOOST_TEST((fixture.session_->current_at() > current_at));
}

// Guards against contents that grow old although the store tells of all
// changes: it refuses lists, or one that a cut watch causes.
BOOST_AUTO_TEST_CASE(changes_are_read_while_lists_are_refused)
{
    session_fixture fixture;
    fixture.session_->start();
    fixture.run_until_synced();
    fixture.store_.targets_.refuses_lists_ = true;
    fixture.store_.fail_watches();
    fixture.store_.remove("b");
    fixture.run_until(
        [&]
        {
            return fixture.changes_ == 1;
        });
    fixture.store_.remove("c");
    const auto current_at = fixture.session_->current_at();
    fixture.run_until(
        [&]
        {
            return fixture.changes_ == 2;
        });
    BOOST_TEST((fixture.session_->current_at() > current_at));
    BOOST_TEST(fixture.listing_sizes_.size() == 1U);
    BOOST_TEST(fixture.session_->is_synced());
}

// Guards against seconds without changes on a VM without a watcher whose
// connections went silent: a check on one of them fails although the store
// answers on new ones.
BOOST_AUTO_TEST_CASE(a_check_is_repeated_before_the_store_counts_as_lost)
{
    session_fixture fixture;
    fixture.session_->start();
    fixture.run_until_synced();
    fixture.session_->set_intervals({milliseconds(5.0),
                                     milliseconds(1e6),
                                     milliseconds(1e6),
                                     milliseconds(1e6)});
    fixture.store_.failing_checks_ = 1;
    fixture.store_.remove("b");
    fixture.run_until(
        [&]
        {
            return fixture.changes_ == 1;
        });
    BOOST_TEST(fixture.session_->is_synced());
    BOOST_TEST(fixture.store_.targets_.lists_ == 3);
    // Each check is repeated once only.
    fixture.store_.failing_checks_ = 2;
    fixture.run_until(
        [&]
        {
            return !fixture.session_->is_synced();
        });
    BOOST_TEST(fixture.store_.failing_checks_ == 0);
}

// Guards against a cut watch that is taken for an outage of the store, after
// which a VM without a watcher waits for seconds before it lists again.
BOOST_AUTO_TEST_CASE(a_watch_that_is_cut_causes_a_listing_at_once)
{
    session_fixture fixture;
    fixture.session_->set_intervals({milliseconds(1e6),
                                     milliseconds(1e6),
                                     milliseconds(1e6),
                                     milliseconds(1e6)});
    fixture.session_->start();
    fixture.run_until_synced();
    fixture.store_.put("f");
    fixture.store_.fail_watches();
    fixture.run_until_synced();
    BOOST_TEST(fixture.listing_sizes_.back() == 6U);
}

// The event loop goes on after an unexpected error, and so must the session: a
// VM without further changes would keep calling targets that left.
BOOST_AUTO_TEST_CASE(a_session_goes_on_after_an_error_of_its_observer)
{
    session_fixture fixture;
    fixture.listing_fails_ = true;
    fixture.session_->start();
    BOOST_CHECK_THROW(fixture.run_until_synced(), std::runtime_error);
    fixture.run_until_synced();
    object_changes<target_spec> changes;
    changes.revision_ = 30;
    changes.changes_.resize(2);
    std::exchange(fixture.store_.targets_.pending_watch_, nullptr)(changes);
    BOOST_TEST(fixture.changes_ == 2U);
}

// Guards against changes that are lost because a check finds that the store no
// longer has them, while the watch is silent.
BOOST_AUTO_TEST_CASE(a_check_that_finds_the_history_gone_lists_again)
{
    session_fixture fixture;
    fixture.session_->start();
    fixture.run_until_synced();
    fixture.store_.put("f");
    fixture.store_.oldest_revision_ =
        fixture.store_.targets_.objects_["f"].revision_;
    fixture.run_until(
        [&]
        {
            return fixture.listing_sizes_.size() == 2;
        });
    BOOST_TEST(fixture.listing_sizes_.back() == 6U);
}

// Guards against a listing that got stuck and hides what was removed meanwhile:
// an entry with an odd name keeps the store from listing further.
BOOST_AUTO_TEST_CASE(changes_behind_a_stuck_listing_are_not_lost)
{
    session_fixture fixture;
    fixture.session_->start();
    fixture.run_until_synced();
    fixture.store_.targets_.is_stuck_ = true;
    fixture.store_.remove("e");
    fixture.store_.fail_watches();
    fixture.run_until(
        [&]
        {
            return fixture.removals_ == 1;
        });
    BOOST_TEST(fixture.listing_sizes_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(discarded_history_causes_a_new_listing)
{
    session_fixture fixture;
    fixture.store_.oldest_revision_ = 1000;
    fixture.session_->start();
    fixture.run_until(
        [&]
        {
            return fixture.listing_sizes_.size() >= 3;
        });
    fixture.store_.oldest_revision_ = 0;
    fixture.run_until_synced();
}

// The time between two answers shows whether entries can have expired, so each
// answer is reported before its contents.
BOOST_AUTO_TEST_CASE(the_answer_of_a_check_is_reported)
{
    session_fixture fixture;
    fixture.session_->start();
    fixture.run_until_synced();
    const int answers = fixture.answers_;
    fixture.run_until(
        [&]
        {
            return fixture.answers_ >= answers + 2;
        });
    BOOST_TEST(fixture.changes_ == 0U);
}

BOOST_AUTO_TEST_CASE(start_with_check_checks_before_listing)
{
    session_fixture fixture;
    fixture.store_.down_ = true;
    fixture.session_->start_with_check();
    fixture.run_until(
        [&]
        {
            return fixture.store_.checks_ >= 3;
        });
    BOOST_TEST(fixture.store_.targets_.lists_ == 0);
    fixture.session_->stop();
    BOOST_TEST(!fixture.session_->is_running());
}

BOOST_AUTO_TEST_CASE(backoff_grows_to_a_limit_and_is_randomized)
{
    const milliseconds initial(100.0);
    const milliseconds max_backoff(300.0);
    for (int failures = 1; failures < 100; ++failures)
    {
        const auto low = retry_backoff(failures, initial, max_backoff, 0.0);
        const auto high = retry_backoff(failures, initial, max_backoff, 1.0);
        BOOST_TEST((low < high));
        BOOST_TEST((high <= max_backoff * 1.5));
        BOOST_TEST((low >= retry_backoff(1, initial, max_backoff, 0.0)));
    }
    BOOST_TEST((check_timeout(2) > check_timeout(1)));
}

BOOST_AUTO_TEST_SUITE_END()
