#include <av_registry/target_registry.hpp>

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

using namespace anvilturn;

namespace
{

constexpr milliseconds start(10000.0);
constexpr milliseconds heartbeat_interval(1500.0);

listed_target listed_entry(const std::string& name,
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
    change.object_ = listed_entry(name, revision);
    change.removed_ = true;
    return change;
}

target_change change_of(const listed_target& object)
{
    target_change change;
    change.object_ = object;
    return change;
}

// The entry as sent by a VM that waits for its return.
target_change expiring(const listed_target& object)
{
    auto change = change_of(object);
    change.expiring_ = true;
    return change;
}

target_registry registry_with(const std::vector<listed_target>& objects)
{
    target_registry registry;
    registry.min_expiring_outage_ = min_expiring_outage(heartbeat_interval);
    record_store_answer(registry, start);
    apply_listing(registry, objects, start);
    return registry;
}

// Lets the store answer again after an outage in which entries can expire.
// Returns when it answered.
milliseconds end_long_outage(target_registry& registry)
{
    const auto end = start + min_expiring_outage(heartbeat_interval);
    record_store_answer(registry, end);
    return end;
}

bool is_registered(const target_registry& registry, const std::string& name)
{
    return registered_targets(registry).count(name) != 0;
}

} // namespace

BOOST_AUTO_TEST_SUITE(registered_target_entries)

BOOST_AUTO_TEST_CASE(
    removed_target_is_dropped_at_once_while_the_store_is_reachable)
{
    auto registry = registry_with({listed_entry("a", 1), listed_entry("b", 2)});
    apply_changes(registry, {removal("a", 3)}, start);
    BOOST_TEST(!is_registered(registry, "a"));
    BOOST_TEST(is_registered(registry, "b"));
    BOOST_TEST(!next_expiry(registry).has_value());
}

BOOST_AUTO_TEST_CASE(entry_that_expired_in_an_outage_is_kept_if_it_returns)
{
    auto registry = registry_with({listed_entry("a", 1), listed_entry("b", 2)});
    const auto end = end_long_outage(registry);
    apply_listing(registry, {listed_entry("b", 2)}, end);
    BOOST_TEST(is_registered(registry, "a"));
    apply_changes(registry, {change_of(listed_entry("a", 9))}, end);
    remove_expired(registry, end + expiry_grace_period);
    BOOST_TEST(is_registered(registry, "a"));
}

BOOST_AUTO_TEST_CASE(entry_still_missing_after_the_grace_period_is_removed)
{
    auto registry = registry_with({listed_entry("a", 1)});
    const auto end = end_long_outage(registry);
    apply_changes(registry, {removal("a", 3)}, end + milliseconds(100.0));
    const auto due = next_expiry(registry);
    BOOST_TEST_REQUIRE(due.has_value());
    BOOST_TEST((*due == end + expiry_grace_period));
    remove_expired(registry, *due - milliseconds(1.0));
    BOOST_TEST(is_registered(registry, "a"));
    remove_expired(registry, *due);
    BOOST_TEST(!is_registered(registry, "a"));
}

BOOST_AUTO_TEST_CASE(removal_after_the_grace_period_takes_effect_at_once)
{
    auto registry = registry_with({listed_entry("a", 1)});
    const auto end = end_long_outage(registry);
    apply_changes(registry, {removal("a", 3)}, end + expiry_grace_period);
    BOOST_TEST(!is_registered(registry, "a"));
}

// A VM that changes from a watcher to the store gets no answer for about two
// seconds. No live target's entry expires in that time, so a target that is
// missing then has left and must not get calls for a further grace period.
BOOST_AUTO_TEST_CASE(a_short_outage_delays_no_removal)
{
    auto registry = registry_with({listed_entry("a", 1), listed_entry("b", 2)});
    const auto end =
        start + min_expiring_outage(heartbeat_interval) - milliseconds(1.0);
    record_store_answer(registry, end);
    apply_listing(registry, {listed_entry("b", 2)}, end);
    BOOST_TEST(!is_registered(registry, "a"));
    BOOST_TEST(is_registered(registry, "b"));
}

// Watchers report the age of the store's last answer, so reports of several
// may arrive in another order than the answers.
BOOST_AUTO_TEST_CASE(an_earlier_answer_of_the_store_is_ignored)
{
    auto registry = registry_with({listed_entry("a", 1)});
    const milliseconds step = min_expiring_outage(heartbeat_interval) * 0.75;
    record_store_answer(registry, start + step);
    record_store_answer(registry, start);
    record_store_answer(registry, start + step * 2.0);
    BOOST_TEST(!registry.store_recovered_at_.has_value());
}

BOOST_AUTO_TEST_CASE(outdated_changes_are_ignored)
{
    struct outdated_change
    {
        const char* name_;
        target_change change_;
    };
    const std::vector<outdated_change> cases{
        {"an earlier revision", change_of(listed_entry("a", 4, 7))},
        {"an earlier incarnation, written later",
         change_of(listed_entry("a", 9, 6))},
        {"a removal of an earlier revision", removal("a", 4)}};
    for (const auto& one : cases)
    {
        BOOST_TEST_CONTEXT(one.name_)
        {
            auto registry = registry_with({listed_entry("a", 5, 7, true)});
            apply_changes(registry, {one.change_}, start);
            const auto targets = registered_targets(registry);
            BOOST_TEST_REQUIRE(targets.count("a") == 1U);
            BOOST_TEST(targets.at("a").incarnation_ == 7);
            BOOST_TEST(targets.at("a").draining_);
        }
    }
}

// Guards against calls to a target that left: it started again with a clock
// that was set back, so that its entries seem to be of an earlier start.
BOOST_AUTO_TEST_CASE(a_leaving_target_counts_whatever_its_start_time)
{
    for (const std::int64_t incarnation : {0, 6, 7, 8})
    {
        auto registry = registry_with({listed_entry("a", 5, 7)});
        const auto leaving = listed_entry("a", 9, incarnation, true);
        apply_changes(registry, {change_of(leaving)}, start);
        BOOST_TEST(registered_targets(registry).at("a").draining_);
        // A late write of a process that has ended does not bring it back.
        const auto late = listed_entry("a", 10, 6);
        apply_changes(registry, {change_of(late)}, start);
        BOOST_TEST(registered_targets(registry).at("a").draining_);
    }
}

BOOST_AUTO_TEST_CASE(later_incarnation_replaces_earlier_one_of_the_same_name)
{
    auto registry = registry_with({listed_entry("a", 5, 7, true)});
    apply_changes(registry, {change_of(listed_entry("a", 6, 8))}, start);
    BOOST_TEST(!registered_targets(registry).at("a").draining_);
}

BOOST_AUTO_TEST_CASE(unreadable_entry_yields_no_target)
{
    auto registry = registry_with({listed_entry("a", 1)});
    auto unreadable = listed_entry("a", 2);
    unreadable.value_.reset();
    auto unreadable_and_new = listed_entry("x", 3);
    unreadable_and_new.value_.reset();
    apply_changes(registry,
                  {change_of(unreadable), change_of(unreadable_and_new)},
                  start);
    BOOST_TEST(registered_targets(registry).empty());
}

BOOST_AUTO_TEST_CASE(entry_expiring_at_a_watcher_is_kept_but_not_added)
{
    const auto expiring_a = expiring(listed_entry("a", 1));
    const auto expiring_b = expiring(listed_entry("b", 2));
    auto registry = registry_with({listed_entry("a", 1), listed_entry("c", 3)});
    const auto end = end_long_outage(registry);
    apply_snapshot(registry, {expiring_a, expiring_b}, end);
    BOOST_TEST(is_registered(registry, "a"));
    BOOST_TEST(!is_registered(registry, "b"));
    BOOST_TEST(!is_registered(registry, "c"));
    apply_changes(registry, {expiring_a}, end);
    BOOST_TEST(is_registered(registry, "a"));
}

// The store was unreachable for a watcher only. This VM, which has read it all
// the while, must not wait with that watcher for the return of the target.
BOOST_AUTO_TEST_CASE(entry_expiring_at_a_watcher_is_removed_without_own_outage)
{
    const auto expiring_a = expiring(listed_entry("a", 1));
    auto by_snapshot = registry_with({listed_entry("a", 1)});
    apply_snapshot(by_snapshot, {expiring_a}, start);
    BOOST_TEST(!is_registered(by_snapshot, "a"));
    auto by_change = registry_with({listed_entry("a", 1)});
    apply_changes(by_change, {expiring_a}, start);
    BOOST_TEST(!is_registered(by_change, "a"));
    apply_changes(by_change, {change_of(listed_entry("a", 1))}, start);
    BOOST_TEST(is_registered(by_change, "a"));
}

// A target may be cold again for the same time. Heartbeats of warm ones must
// not count as changes, of which every VM would be told.
BOOST_AUTO_TEST_CASE(only_cold_targets_differ_by_their_revision)
{
    auto warm = listed_entry("a", 5);
    auto cold = listed_entry("b", 5);
    cold.value_->cold_for_ = milliseconds(3000.0);
    auto registry = registry_with({warm, cold});
    const auto before = registered_targets(registry);
    warm.revision_ = 6;
    cold.revision_ = 7;
    apply_changes(registry, {change_of(warm), change_of(cold)}, start);
    const auto after = registered_targets(registry);
    BOOST_TEST((after.at("a") == before.at("a")));
    BOOST_TEST((after.at("b") != before.at("b")));
    BOOST_TEST(before.at("b").cold_revision_ == 5U);
    BOOST_TEST(after.at("b").cold_revision_ == 7U);
}

BOOST_AUTO_TEST_SUITE_END()
