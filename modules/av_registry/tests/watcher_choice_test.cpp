#include <av_registry/watcher_choice.hpp>

#include <boost/test/unit_test.hpp>

#include <set>
#include <string>
#include <vector>

using namespace anvilturn;

namespace
{

constexpr milliseconds now(50000.0);

std::vector<watcher_record> three_watchers()
{
    return watchers_of({"10.1.0.1:80", "10.2.0.1:80", "10.3.0.1:80"},
                       "10.9.0.9:80");
}

} // namespace

BOOST_AUTO_TEST_SUITE(choice_of_a_watcher)

BOOST_AUTO_TEST_CASE(a_vm_that_is_named_watches_itself)
{
    BOOST_TEST(
        watchers_of({"10.1.0.1:80", "10.2.0.1:80"}, "10.2.0.1:80").empty());
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

BOOST_AUTO_TEST_CASE(the_own_domain_goes_first_and_unknown_before_other)
{
    auto watchers = three_watchers();
    watchers[0].failure_domain_ = "b";
    watchers[2].failure_domain_ = "a";
    BOOST_TEST(*choose_watcher(watchers, "a", 0, now) == 2U);
    BOOST_TEST(*choose_watcher(watchers, "c", 0, now) == 1U);
    BOOST_TEST(has_better_watcher(watchers, 0, "a", now));
    BOOST_TEST(!has_better_watcher(watchers, 2, "a", now));
}

BOOST_AUTO_TEST_CASE(one_that_failed_rests_and_then_waits_for_trust)
{
    auto watchers = three_watchers();
    for (auto& watcher : watchers)
    {
        watcher.failure_domain_ = "b";
    }
    watchers[1].failure_domain_ = "a";
    note_failure(watchers[1], now);
    BOOST_TEST(*choose_watcher(watchers, "a", 1, now) != 1U);
    // It is not preferred as soon as it may be queried again; otherwise a VM
    // would leave a working watcher for it again and again.
    BOOST_TEST(!has_better_watcher(watchers, 0, "a", now + watcher_pause));
    BOOST_TEST(has_better_watcher(watchers, 0, "a", now + watcher_pause * 2.0));
}

BOOST_AUTO_TEST_CASE(trust_comes_back_ever_more_slowly)
{
    auto watchers = three_watchers();
    watchers[0].failure_domain_ = "b";
    watchers[1].failure_domain_ = "a";
    watchers[2].failure_domain_ = "b";
    for (int i = 0; i < 3; ++i)
    {
        note_failure(watchers[1], now);
    }
    BOOST_TEST(
        !has_better_watcher(watchers, 0, "a", now + watcher_pause * 7.0));
    BOOST_TEST(has_better_watcher(watchers, 0, "a", now + watcher_pause * 8.0));
}

// One watcher temporarily loses the store.
BOOST_AUTO_TEST_CASE(one_that_is_out_of_step_goes_last_and_is_not_gone_back_to)
{
    auto watchers = three_watchers();
    watchers[0].failure_domain_ = "a";
    watchers[1].failure_domain_ = "b";
    watchers[2].failure_domain_ = "b";
    note_word(watchers[0], true, false, now);
    note_word(watchers[0], false, false, now);
    BOOST_TEST(is_out_of_step(watchers[0], now));
    BOOST_TEST(*choose_watcher(watchers, "a", 0, now) != 0U);
    BOOST_TEST(!stays_with(watchers, 0, now));
    BOOST_TEST(!has_better_watcher(watchers, 1, "a", now));
    // Further reports of the same loss do not count as failures, and the
    // watcher is not preferred in the meantime.
    const auto later = now + word_validity * 2.0;
    note_word(watchers[0], false, false, later);
    BOOST_TEST(!has_better_watcher(watchers, 1, "a", later));
    BOOST_TEST(watchers[0].failures_ == 1);
}

// The store is unreachable for all watchers.
BOOST_AUTO_TEST_CASE(
    with_all_out_of_step_the_nearest_is_kept_and_others_greeted)
{
    auto watchers = three_watchers();
    for (auto& watcher : watchers)
    {
        watcher.failure_domain_ = "b";
        BOOST_TEST(needs_greeting(watcher, now));
        note_word(watcher, false, true, now);
        BOOST_TEST(!needs_greeting(watcher, now));
    }
    watchers[2].failure_domain_ = "a";
    BOOST_TEST(*choose_watcher(watchers, "a", 0, now) == 2U);
    BOOST_TEST(*choose_watcher(watchers, "c", 1, now) == 1U);
    BOOST_TEST(stays_with(watchers, 2, now));
    BOOST_TEST(!stays_with(watchers, 2, now + word_validity));
    note_failure(watchers[0], now + word_validity);
    note_failure(watchers[1], now + word_validity);
    BOOST_TEST(stays_with(watchers, 2, now + word_validity));
}

BOOST_AUTO_TEST_CASE(without_another_choice_a_failed_one_is_asked_soon)
{
    auto watchers = three_watchers();
    for (auto& watcher : watchers)
    {
        note_failure(watcher, now);
        note_failure(watcher, now);
    }
    BOOST_TEST(!choose_watcher(watchers, "a", 0, now).has_value());
    BOOST_TEST(
        choose_watcher(watchers, "a", 0, now + watcher_pause).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
