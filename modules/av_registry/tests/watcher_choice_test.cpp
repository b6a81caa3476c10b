#include <av_registry/watcher_choice.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <optional>

#include <set>
#include <string>
#include <vector>

using namespace anvilturn;

namespace
{

constexpr milliseconds now(50000.0);

std::vector<watcher_record> three_watchers()
{
    return make_watcher_records({"10.1.0.1:80", "10.2.0.1:80", "10.3.0.1:80"},
                                "10.9.0.9:80");
}

} // namespace

BOOST_AUTO_TEST_SUITE(choice_of_a_watcher)

BOOST_AUTO_TEST_CASE(vm_configured_as_watcher_uses_no_other_watcher)
{
    BOOST_TEST(
        make_watcher_records({"10.1.0.1:80", "10.2.0.1:80"}, "10.2.0.1:80")
            .empty());
    BOOST_TEST(three_watchers().size() == 3U);
}

BOOST_AUTO_TEST_CASE(vms_spread_over_watchers_of_unknown_domains)
{
    const auto watchers = three_watchers();
    std::set<std::size_t> chosen;
    for (std::size_t random = 0; random < 30; ++random)
    {
        chosen.insert(*choose_watcher(watchers, "a", random, now));
    }
    BOOST_TEST(chosen.size() == 3U);
}

BOOST_AUTO_TEST_CASE(local_domain_is_preferred_then_unknown_then_other)
{
    auto watchers = three_watchers();
    watchers[0].failure_domain_ = "b";
    watchers[2].failure_domain_ = "a";
    BOOST_TEST(*choose_watcher(watchers, "a", 0, now) == 2U);
    BOOST_TEST(*choose_watcher(watchers, "c", 0, now) == 1U);
    BOOST_TEST(has_better_watcher(watchers, 0, "a", now));
    BOOST_TEST(!has_better_watcher(watchers, 2, "a", now));
}

BOOST_AUTO_TEST_CASE(
    failed_watcher_is_skipped_and_not_preferred_at_once_after_that)
{
    auto watchers = three_watchers();
    for (auto& watcher : watchers)
    {
        watcher.failure_domain_ = "b";
    }
    watchers[1].failure_domain_ = "a";
    record_watcher_failure(watchers[1], now);
    BOOST_TEST(*choose_watcher(watchers, "a", 1, now) != 1U);
    // It is not preferred as soon as it may be queried again; otherwise a VM
    // would leave a working watcher for it again and again.
    BOOST_TEST(
        !has_better_watcher(watchers, 0, "a", now + watcher_retry_delay));
    BOOST_TEST(
        has_better_watcher(watchers, 0, "a", now + watcher_retry_delay * 2.0));
}

BOOST_AUTO_TEST_CASE(repeated_failures_lengthen_the_backoff)
{
    auto watchers = three_watchers();
    watchers[0].failure_domain_ = "b";
    watchers[1].failure_domain_ = "a";
    watchers[2].failure_domain_ = "b";
    for (int i = 0; i < 3; ++i)
    {
        record_watcher_failure(watchers[1], now);
    }
    BOOST_TEST(
        !has_better_watcher(watchers, 0, "a", now + watcher_retry_delay * 7.0));
    BOOST_TEST(
        has_better_watcher(watchers, 0, "a", now + watcher_retry_delay * 8.0));
}

// One watcher no longer reaches the store.
BOOST_AUTO_TEST_CASE(
    watcher_without_store_access_is_chosen_last_and_not_preferred_again)
{
    auto watchers = three_watchers();
    watchers[0].failure_domain_ = "a";
    watchers[1].failure_domain_ = "b";
    watchers[2].failure_domain_ = "b";
    record_watcher_status(watchers[0], true, false, now);
    record_watcher_status(watchers[0], false, false, now);
    BOOST_TEST(reports_store_unreachable(watchers[0], now));
    BOOST_TEST(*choose_watcher(watchers, "a", 0, now) != 0U);
    BOOST_TEST(!should_keep_watcher(watchers, 0, now));
    BOOST_TEST(!has_better_watcher(watchers, 1, "a", now));
    // Further reports of the same outage do not count as failures, and the
    // watcher is not preferred in the meantime.
    const auto later = now + status_validity * 2.0;
    record_watcher_status(watchers[0], false, false, later);
    BOOST_TEST(!has_better_watcher(watchers, 1, "a", later));
    BOOST_TEST(watchers[0].failures_ == 1);
}

// The store is unreachable for all watchers.
BOOST_AUTO_TEST_CASE(
    without_the_store_the_nearest_watcher_is_kept_and_others_are_queried)
{
    auto watchers = three_watchers();
    for (auto& watcher : watchers)
    {
        watcher.failure_domain_ = "b";
        BOOST_TEST(needs_status_query(watcher, now));
        record_watcher_status(watcher, false, true, now);
        BOOST_TEST(!needs_status_query(watcher, now));
    }
    watchers[2].failure_domain_ = "a";
    BOOST_TEST(*choose_watcher(watchers, "a", 0, now) == 2U);
    BOOST_TEST(*choose_watcher(watchers, "c", 1, now) == 1U);
    BOOST_TEST(should_keep_watcher(watchers, 2, now));
    BOOST_TEST(!should_keep_watcher(watchers, 2, now + status_validity));
    record_watcher_failure(watchers[0], now + status_validity);
    record_watcher_failure(watchers[1], now + status_validity);
    BOOST_TEST(should_keep_watcher(watchers, 2, now + status_validity));
}

BOOST_AUTO_TEST_CASE(if_all_watchers_failed_one_is_retried_after_the_delay)
{
    auto watchers = three_watchers();
    for (auto& watcher : watchers)
    {
        record_watcher_failure(watcher, now);
        record_watcher_failure(watcher, now);
    }
    BOOST_TEST(!choose_watcher(watchers, "a", 0, now).has_value());
    BOOST_TEST(choose_watcher(watchers, "a", 0, now + watcher_retry_delay)
                   .has_value());
}

BOOST_AUTO_TEST_CASE(standbys_stay_appointed_while_they_subscribe)
{
    using addresses = std::vector<std::string>;
    BOOST_TEST((choose_standbys({}, {"a", "b", "c"}) == addresses{"a", "b"}));
    BOOST_TEST(
        (choose_standbys({"c", "b"}, {"a", "b", "c"}) == addresses{"c", "b"}));
    BOOST_TEST(
        (choose_standbys({"c", "b"}, {"a", "b"}) == addresses{"b", "a"}));
    BOOST_TEST(choose_standbys({"c"}, {}).empty());
}

BOOST_AUTO_TEST_CASE(a_limited_number_of_standbys_is_remembered)
{
    auto watchers = make_watcher_records({"w"}, "own");
    record_standbys(watchers, {"s1", "s2", "own-other"}, "own", 0);
    BOOST_TEST_REQUIRE(watchers.size() == 4U);
    for (int number = 3; number < 20; ++number)
    {
        record_standbys(
            watchers, {"s" + std::to_string(number)}, "own", std::size_t{1});
    }
    BOOST_TEST(watchers.size() == 1U + max_known_standbys);
    BOOST_TEST(!watchers[0].standby_);
    // The one in use keeps its place, and the newest is known.
    BOOST_TEST(watchers[1].address_ == "s1");
    const bool newest_known = std::any_of(watchers.begin(),
                                          watchers.end(),
                                          [](const watcher_record& watcher)
                                          {
                                              return watcher.address_ == "s19";
                                          });
    BOOST_TEST(newest_known);
}

BOOST_AUTO_TEST_CASE(a_standby_is_used_only_if_no_watcher_reaches_the_store)
{
    const milliseconds now(1000.0);
    auto watchers = make_watcher_records({"w"}, "own");
    record_standbys(watchers, {"s"}, "own", std::nullopt);
    watchers[0].failure_domain_ = "b";
    watchers[1].failure_domain_ = "a";
    BOOST_TEST((choose_watcher(watchers, "a", 1, now) == std::size_t{0}));
    BOOST_TEST(!has_better_watcher(watchers, 0, "a", now));
    BOOST_TEST(has_better_watcher(watchers, 1, "a", now));
    record_watcher_status(watchers[0], false, false, now);
    BOOST_TEST((choose_watcher(watchers, "a", 0, now) == std::size_t{1}));
    BOOST_TEST(!should_keep_watcher(watchers, 0, now));
    BOOST_TEST(!has_better_watcher(watchers, 1, "a", now));
}

// Standbys that followed each other would pass on what none of them reads.
BOOST_AUTO_TEST_CASE(standbys_do_not_follow_each_other)
{
    const milliseconds now(1000.0);
    auto watchers = make_watcher_records({"w"}, "own");
    record_standbys(watchers, {"s", "own"}, "own", std::nullopt);
    BOOST_TEST_REQUIRE(watchers.size() == 2U);
    record_watcher_status(watchers[0], false, false, now);
    BOOST_TEST((choose_watcher(watchers, "a", 0, now) == std::size_t{0}));
    BOOST_TEST(should_keep_watcher(watchers, 0, now));
    record_standbys(watchers, {"s", "t"}, "own", std::nullopt);
    BOOST_TEST(!should_keep_watcher(watchers, 0, now));
}

BOOST_AUTO_TEST_SUITE_END()
