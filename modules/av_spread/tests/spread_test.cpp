#include <av_spread/av_spread.hpp>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

using namespace anvilturn;

namespace
{

std::string digest_of(release_version version)
{
    return "digest-" + std::to_string(version);
}

// Simulates VMs that push each new release to four random others.
class gossip_fleet
{
public:
    gossip_fleet(std::size_t vms, unsigned seed)
        : generator_(seed)
        , states_(vms, start_release_spread(milliseconds()))
    {
    }

    void accept(std::size_t vm, release_version version)
    {
        apply_version(vm, version);
    }

    // Delivers updates until none is pending; returns the number of hops.
    int deliver_all()
    {
        int hops = 0;
        for (; !pending_updates_.empty(); ++hops)
        {
            const auto undelivered = std::exchange(pending_updates_, {});
            for (const auto& [from, to] : undelivered)
            {
                deliver(from, to);
            }
        }
        return hops;
    }

    // Each VM exchanges versions with a random one.
    void exchange_once()
    {
        for (std::size_t vm = 0; vm < states_.size(); ++vm)
        {
            const std::size_t peer = generator_() % states_.size();
            deliver(vm, peer);
            deliver(peer, vm);
        }
    }

    std::size_t vms_with_version(release_version version) const
    {
        return static_cast<std::size_t>(
            std::count_if(states_.begin(),
                          states_.end(),
                          [version](const auto& state)
                          {
                              return state.current_version_ == version;
                          }));
    }

    std::mt19937 generator_;
    std::vector<release_spread_state> states_;
    bool version_decreased_ = false;

private:
    void deliver(std::size_t from, std::size_t to)
    {
        auto& state = states_[to];
        state = record_release_source(
            std::move(state), states_[from].current_version_, from + 1);
        while (const auto source = select_fetch_source(state, generator_()))
        {
            state = on_fetch_started(std::move(state), *source);
            const auto version = states_[*source - 1].current_version_;
            state = on_fetch_ended(std::move(state));
            apply_version(to, version);
        }
    }

    void apply_version(std::size_t vm, release_version version)
    {
        constexpr int fanout = 4;
        auto& state = states_[vm];
        const auto before = state.current_version_;
        if (classify_release(state, version, digest_of(version)) !=
            release_classification::newer)
        {
            return;
        }
        state = apply_release(std::move(state), version, digest_of(version));
        version_decreased_ =
            version_decreased_ || state.current_version_ < before;
        for (int i = 0; i < fanout; ++i)
        {
            pending_updates_.push_back({vm, generator_() % states_.size()});
        }
    }

    std::vector<std::pair<std::size_t, std::size_t>> pending_updates_;
};

target_notice
make_notice(target_notice_kind kind, const std::string& target, double age)
{
    target_notice notice;
    notice.kind_ = kind;
    notice.target_ = target;
    notice.age_ = milliseconds(age);
    return notice;
}

fleet_view make_fleet(std::size_t vms, std::size_t domains)
{
    fleet_view fleet;
    for (std::size_t i = 0; i < vms; ++i)
    {
        vm_description vm;
        vm.name_ = "vm-" + std::to_string(i);
        vm.failure_domain_ = "domain-" + std::to_string(i % domains);
        fleet.members_.push_back(vm);
    }
    return fleet;
}

std::set<std::string> watchers_of(fleet_view fleet)
{
    std::set<std::string> watchers;
    for (const auto& vm : fleet.members_)
    {
        fleet.self_ = vm;
        if (is_platform_watcher(fleet))
        {
            watchers.insert(vm.name_);
        }
    }
    return watchers;
}

constexpr auto draining = target_notice_kind::draining;
constexpr auto serving = target_notice_kind::serving;

} // namespace

BOOST_AUTO_TEST_SUITE(spread)

RC_BOOST_PROP(a_release_reaches_all_by_pushes_and_a_few_exchanges, ())
{
    const auto vms = *rc::gen::inRange<std::size_t>(2, 120);
    gossip_fleet fleet(vms, *rc::gen::arbitrary<unsigned>());
    fleet.accept(0, 1);
    RC_ASSERT(fleet.deliver_all() <= 12);
    for (int i = 0; i < 8; ++i)
    {
        fleet.exchange_once();
    }
    RC_ASSERT(fleet.vms_with_version(1) == vms);
}

RC_BOOST_PROP(current_version_never_decreases, ())
{
    const auto vms = *rc::gen::inRange<std::size_t>(2, 20);
    gossip_fleet fleet(vms, *rc::gen::arbitrary<unsigned>());
    const auto received_versions =
        *rc::gen::container<std::vector<release_version>>(
            rc::gen::inRange<release_version>(1, 30));
    release_version newest = 0;
    for (const auto version : received_versions)
    {
        fleet.accept(*rc::gen::inRange<std::size_t>(0, vms), version);
        newest = std::max(newest, version);
        if (*rc::gen::arbitrary<bool>())
        {
            fleet.deliver_all();
        }
    }
    fleet.deliver_all();
    for (int i = 0; i < 12; ++i)
    {
        fleet.exchange_once();
        fleet.deliver_all();
    }
    RC_ASSERT(!fleet.version_decreased_);
    RC_ASSERT(fleet.vms_with_version(newest) == vms);
}

BOOST_AUTO_TEST_CASE(a_release_of_the_same_version_and_other_content_conflicts)
{
    auto state = start_release_spread(milliseconds());
    state = apply_release(std::move(state), 4, "a");
    BOOST_TEST((classify_release(state, 4, "b") ==
                release_classification::conflicting));
    BOOST_TEST(
        (classify_release(state, 4, "a") == release_classification::known));
    BOOST_TEST(
        (classify_release(state, 3, "b") == release_classification::known));
    BOOST_TEST(
        (classify_release(state, 5, "b") == release_classification::newer));
}

struct serving_case
{
    const char* what_;
    release_version current_version_;
    bool platform_answered_;
    std::uint64_t peers_answered_;
    std::size_t known_peers_;
    release_version newest_known_;
    double waited_ms_;
    bool serves_;
};

BOOST_AUTO_TEST_CASE(starting_vm_waits_for_several_sources_before_serving)
{
    const serving_case cases[] = {
        {"no release, after the timeout", 0, true, 3, 3, 0, 60000, false},
        {"all answered", 5, true, 3, 20, 5, 100, true},
        {"platform answered, no peers known", 5, true, 0, 0, 5, 100, true},
        {"two of three required peers answered", 5, true, 2, 20, 5, 100, false},
        {"platform did not answer", 5, false, 3, 20, 5, 100, false},
        {"a newer release is known", 5, true, 3, 20, 6, 100, false},
        {"platform did not answer, after the timeout",
         5,
         false,
         1,
         20,
         5,
         2000,
         true},
    };
    for (const auto& row : cases)
    {
        auto state = start_release_spread(milliseconds());
        if (row.current_version_ > 0)
        {
            state = apply_release(std::move(state), row.current_version_, "d");
        }
        state = record_release_source(std::move(state), row.newest_known_, 1);
        if (row.platform_answered_)
        {
            state = record_source_answer(std::move(state), platform_source);
        }
        for (std::uint64_t peer = 1; peer <= row.peers_answered_; ++peer)
        {
            state = record_source_answer(std::move(state), peer);
        }
        state = decide_serving(
            std::move(state), row.known_peers_, milliseconds(row.waited_ms_));
        BOOST_TEST_CONTEXT(row.what_)
        {
            BOOST_TEST(state.serving_ == row.serves_);
        }
    }
}

struct notice_case
{
    const char* what_;
    target_notice_kind first_kind_;
    std::uint32_t first_sequence_;
    target_notice_kind then_kind_;
    std::uint64_t then_vm_;
    std::uint32_t then_sequence_;
    double then_age_ms_;
    bool is_new_;
    bool is_urgent_;
};

BOOST_AUTO_TEST_CASE(later_notices_supersede_and_repeated_ones_do_not)
{
    const notice_case cases[] = {
        {"repeated by another peer",
         draining,
         1,
         draining,
         7,
         1,
         0,
         false,
         false},
        {"older sequence number, smaller age",
         draining,
         2,
         serving,
         7,
         1,
         0,
         false,
         false},
        {"same VM, later", draining, 1, serving, 7, 2, 0, true, true},
        {"other VM, later", draining, 1, serving, 8, 1, 0, true, true},
        {"other VM, earlier", draining, 1, serving, 8, 1, 5000, false, false},
        {"other VM, same state", draining, 1, draining, 8, 1, 0, true, false},
        {"expired", draining, 1, serving, 8, 1, 500000, false, false},
    };
    for (const auto& row : cases)
    {
        const milliseconds now{1e6};
        auto first = merge_notice(
            {},
            {make_notice(row.first_kind_, "t", 1000.0), 7, row.first_sequence_},
            now);
        BOOST_TEST(first.is_urgent_);
        const auto then =
            merge_notice(std::move(first.notice_table_),
                         {make_notice(row.then_kind_, "t", row.then_age_ms_),
                          row.then_vm_,
                          row.then_sequence_},
                         now);
        BOOST_TEST_CONTEXT(row.what_)
        {
            BOOST_TEST(then.is_new_ == row.is_new_);
            BOOST_TEST(then.is_urgent_ == row.is_urgent_);
        }
    }
}

RC_BOOST_PROP(a_message_holds_at_most_the_limit_and_state_changes_first, ())
{
    const auto states = *rc::gen::inRange(0, 40);
    const auto probes = *rc::gen::inRange(0, 40);
    const auto limit = *rc::gen::inRange<std::size_t>(1, 30);
    const milliseconds now{5000.0};
    notice_table table;
    for (int i = 0; i < states + probes; ++i)
    {
        const auto kind = i < states ? draining : target_notice_kind::probed;
        table =
            add_local_notice(std::move(table),
                             make_notice(kind, "t" + std::to_string(i), 0.0),
                             7,
                             now)
                .notice_table_;
    }
    std::set<std::string> selected_targets;
    std::size_t messages = 0;
    const auto all =
        static_cast<std::size_t>(states) + static_cast<std::size_t>(probes);
    const std::size_t needed = (all + limit - 1) / limit;
    for (; messages < needed; ++messages)
    {
        auto [next, selected] =
            select_notices(std::move(table), limit, false, now);
        table = std::move(next);
        RC_ASSERT(selected.size() <= limit);
        for (const auto& notice : selected)
        {
            selected_targets.insert(notice.notice_.target_);
        }
        const auto min_selected =
            std::min(static_cast<std::size_t>(states), limit);
        RC_ASSERT(messages > 0 || selected_targets.size() >= min_selected);
    }
    const auto refreshed =
        select_notices(std::move(table), 0, true, now).second;
    RC_ASSERT(refreshed.size() == static_cast<std::size_t>(states));
}

BOOST_AUTO_TEST_CASE(notices_expire)
{
    auto table = add_local_notice(
                     {}, make_notice(draining, "t", 0.0), 7, milliseconds(0.0))
                     .notice_table_;
    table = remove_expired_notices(std::move(table), milliseconds(60000.0));
    BOOST_TEST(table.states_.size() == 1U);
    table = remove_expired_notices(std::move(table), milliseconds(600000.0));
    BOOST_TEST(table.states_.empty());
}

RC_BOOST_PROP(each_domain_has_two_watchers_however_large_the_fleet, ())
{
    const auto domains = *rc::gen::inRange<std::size_t>(1, 7);
    const auto vms = domains * *rc::gen::inRange<std::size_t>(2, 20);
    auto fleet = make_fleet(vms, domains);
    const auto before = watchers_of(fleet);
    RC_ASSERT(before.size() == domains * watchers_per_domain);
    const auto removed = *rc::gen::inRange<std::size_t>(0, vms);
    const std::string name = fleet.members_[removed].name_;
    fleet.members_.erase(fleet.members_.begin() +
                         static_cast<std::ptrdiff_t>(removed));
    const auto after = watchers_of(fleet);
    for (const auto& watcher : before)
    {
        RC_ASSERT(watcher == name || after.count(watcher) == 1);
    }
}

BOOST_AUTO_TEST_SUITE_END()
