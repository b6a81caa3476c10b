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
    apply_listing(registry, objects, start);
    return registry;
}

bool has(const target_registry& registry, const std::string& name)
{
    return registered_targets(registry).count(name) != 0;
}

} // namespace

BOOST_AUTO_TEST_SUITE(registered_target_entries)

BOOST_AUTO_TEST_CASE(
    removed_target_is_dropped_at_once_while_the_store_is_reachable)
{
    auto registry = with_entries({entry("a", 1), entry("b", 2)});
    apply_changes(registry, {removal("a", 3)}, start);
    BOOST_TEST(!has(registry, "a"));
    BOOST_TEST(has(registry, "b"));
    BOOST_TEST(!next_expiry(registry).has_value());
}

BOOST_AUTO_TEST_CASE(entry_that_expired_in_an_outage_is_kept_if_it_returns)
{
    auto registry = with_entries({entry("a", 1), entry("b", 2)});
    record_store_recovery(registry, start);
    apply_listing(registry, {entry("b", 2)}, start);
    BOOST_TEST(has(registry, "a"));
    apply_changes(registry, {change_of(entry("a", 9))}, start);
    remove_expired(registry, start + expiry_grace_period);
    BOOST_TEST(has(registry, "a"));
}

BOOST_AUTO_TEST_CASE(entry_still_missing_after_the_grace_period_is_removed)
{
    auto registry = with_entries({entry("a", 1)});
    record_store_recovery(registry, start);
    apply_changes(registry, {removal("a", 3)}, start + milliseconds(100.0));
    const auto due = next_expiry(registry);
    BOOST_TEST_REQUIRE(due.has_value());
    BOOST_TEST((*due == start + expiry_grace_period));
    remove_expired(registry, *due - milliseconds(1.0));
    BOOST_TEST(has(registry, "a"));
    remove_expired(registry, *due);
    BOOST_TEST(!has(registry, "a"));
}

BOOST_AUTO_TEST_CASE(removal_after_the_grace_period_takes_effect_at_once)
{
    auto registry = with_entries({entry("a", 1)});
    record_store_recovery(registry, start);
    apply_changes(registry, {removal("a", 3)}, start + expiry_grace_period);
    BOOST_TEST(!has(registry, "a"));
}

BOOST_AUTO_TEST_CASE(outdated_changes_are_ignored)
{
    struct outdated_change
    {
        const char* name_;
        target_change change_;
    };
    const std::vector<outdated_change> cases{
        {"an earlier revision", change_of(entry("a", 4, 7))},
        {"an earlier start, written later", change_of(entry("a", 9, 6))},
        {"a removal of an earlier revision", removal("a", 4)}};
    for (const auto& one : cases)
    {
        BOOST_TEST_CONTEXT(one.name_)
        {
            auto registry = with_entries({entry("a", 5, 7, true)});
            apply_changes(registry, {one.change_}, start);
            const auto targets = registered_targets(registry);
            BOOST_TEST_REQUIRE(targets.count("a") == 1U);
            BOOST_TEST(targets.at("a").incarnation_ == 7);
            BOOST_TEST(targets.at("a").draining_);
        }
    }
}

BOOST_AUTO_TEST_CASE(later_incarnation_replaces_earlier_one_of_the_same_name)
{
    auto registry = with_entries({entry("a", 5, 7, true)});
    apply_changes(registry, {change_of(entry("a", 6, 8))}, start);
    BOOST_TEST(!registered_targets(registry).at("a").draining_);
}

BOOST_AUTO_TEST_CASE(unreadable_entry_yields_no_target)
{
    auto registry = with_entries({entry("a", 1)});
    auto unreadable = entry("a", 2);
    unreadable.value_.reset();
    auto forged = entry("x", 3);
    forged.value_.reset();
    apply_changes(registry, {change_of(unreadable), change_of(forged)}, start);
    BOOST_TEST(registered_targets(registry).empty());
}

BOOST_AUTO_TEST_CASE(entry_expiring_at_a_watcher_is_kept_but_not_added)
{
    auto lapsing_a = change_of(entry("a", 1));
    lapsing_a.expiring_ = true;
    auto lapsing_b = change_of(entry("b", 2));
    lapsing_b.expiring_ = true;
    auto registry = with_entries({entry("a", 1), entry("c", 3)});
    apply_snapshot(registry, {lapsing_a, lapsing_b});
    BOOST_TEST(has(registry, "a"));
    BOOST_TEST(!has(registry, "b"));
    BOOST_TEST(!has(registry, "c"));
}

BOOST_AUTO_TEST_SUITE_END()
