#include <av_registry/target_registry.hpp>

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

using namespace anvilturn;

namespace
{

constexpr milliseconds start(10000.0);

listed_target entry(const std::string& name,
                    store_revision revision,
                    std::int64_t incarnation = 1,
                    bool draining = false)
{
    target_spec spec;
    spec.name_ = name;
    spec.service_ = "kits";
    spec.incarnation_ = incarnation;
    spec.draining_ = draining;
    return {name, revision, spec, ""};
}

target_change removal(const std::string& name, store_revision revision)
{
    target_change change;
    change.object_ = entry(name, revision);
    change.removed_ = true;
    return change;
}

target_change change_of(const listed_target& object)
{
    target_change change;
    change.object_ = object;
    return change;
}

target_registry with_entries(const std::vector<listed_target>& objects)
{
    target_registry registry;
    take_listing(registry, objects, start);
    return registry;
}

bool has(const target_registry& registry, const std::string& name)
{
    return registered_targets(registry).count(name) != 0;
}

} // namespace

BOOST_AUTO_TEST_SUITE(registered_target_entries)

BOOST_AUTO_TEST_CASE(a_removed_target_is_gone_at_once_while_the_store_answers)
{
    auto registry = with_entries({entry("a", 1), entry("b", 2)});
    take_changes(registry, {removal("a", 3)}, start);
    BOOST_TEST(!has(registry, "a"));
    BOOST_TEST(has(registry, "b"));
    BOOST_TEST(!next_drop(registry).has_value());
}

BOOST_AUTO_TEST_CASE(entries_that_lapsed_in_an_outage_may_come_back)
{
    auto registry = with_entries({entry("a", 1), entry("b", 2)});
    note_recovery(registry, start);
    take_listing(registry, {entry("b", 2)}, start);
    BOOST_TEST(has(registry, "a"));
    take_changes(registry, {change_of(entry("a", 9))}, start);
    drop_lapsed(registry, start + lapse_grace);
    BOOST_TEST(has(registry, "a"));
}

BOOST_AUTO_TEST_CASE(entries_that_stay_away_after_an_outage_are_gone)
{
    auto registry = with_entries({entry("a", 1)});
    note_recovery(registry, start);
    take_changes(registry, {removal("a", 3)}, start + milliseconds(100.0));
    const auto due = next_drop(registry);
    BOOST_TEST_REQUIRE(due.has_value());
    BOOST_TEST((*due == start + lapse_grace));
    drop_lapsed(registry, *due - milliseconds(1.0));
    BOOST_TEST(has(registry, "a"));
    drop_lapsed(registry, *due);
    BOOST_TEST(!has(registry, "a"));
}

BOOST_AUTO_TEST_CASE(a_removal_long_after_an_outage_is_no_lapse)
{
    auto registry = with_entries({entry("a", 1)});
    note_recovery(registry, start);
    take_changes(registry, {removal("a", 3)}, start + lapse_grace);
    BOOST_TEST(!has(registry, "a"));
}

BOOST_AUTO_TEST_CASE(old_news_changes_nothing)
{
    struct old_news
    {
        const char* name_;
        target_change change_;
    };
    const std::vector<old_news> cases{
        {"an earlier revision", change_of(entry("a", 4, 7))},
        {"an earlier incarnation, written later", change_of(entry("a", 9, 6))},
        {"a removal of an earlier revision", removal("a", 4)}};
    for (const auto& one : cases)
    {
        BOOST_TEST_CONTEXT(one.name_)
        {
            auto registry = with_entries({entry("a", 5, 7, true)});
            take_changes(registry, {one.change_}, start);
            const auto targets = registered_targets(registry);
            BOOST_TEST_REQUIRE(targets.count("a") == 1U);
            BOOST_TEST(targets.at("a").incarnation_ == 7);
            BOOST_TEST(targets.at("a").draining_);
        }
    }
}

BOOST_AUTO_TEST_CASE(a_new_start_under_the_same_name_replaces_the_old)
{
    auto registry = with_entries({entry("a", 5, 7, true)});
    take_changes(registry, {change_of(entry("a", 6, 8))}, start);
    BOOST_TEST(!registered_targets(registry).at("a").draining_);
}

BOOST_AUTO_TEST_CASE(an_entry_that_cannot_be_read_names_no_target)
{
    auto registry = with_entries({entry("a", 1)});
    auto unreadable = entry("a", 2);
    unreadable.value_.reset();
    auto forged = entry("x", 3);
    forged.value_.reset();
    take_changes(registry, {change_of(unreadable), change_of(forged)}, start);
    BOOST_TEST(registered_targets(registry).empty());
}

BOOST_AUTO_TEST_CASE(what_lapses_at_a_watcher_is_kept_but_not_taken_up)
{
    auto lapsing_a = change_of(entry("a", 1));
    lapsing_a.lapsing_ = true;
    auto lapsing_b = change_of(entry("b", 2));
    lapsing_b.lapsing_ = true;
    auto registry = with_entries({entry("a", 1), entry("c", 3)});
    take_whole(registry, {lapsing_a, lapsing_b});
    BOOST_TEST(has(registry, "a"));
    BOOST_TEST(!has(registry, "b"));
    BOOST_TEST(!has(registry, "c"));
}

BOOST_AUTO_TEST_SUITE_END()
