#include <av_routing/choice_policy.hpp>
#include <av_routing/load_estimate.hpp>
#include <av_routing/random_bits.hpp>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <cstdlib>
#include <set>
#include <string>
#include <vector>

using namespace anvilturn;

namespace
{

rc::Gen<target_view> any_target()
{
    return rc::gen::map(rc::gen::tuple(rc::gen::arbitrary<bool>(),
                                       rc::gen::arbitrary<bool>(),
                                       rc::gen::inRange(1, 9),
                                       rc::gen::inRange(0, 12),
                                       rc::gen::inRange(-1, 20),
                                       rc::gen::inRange(0, 12),
                                       rc::gen::inRange(0, 11)),
                        [](const auto& values)
                        {
                            target_view target;
                            target.eligible_ = std::get<0>(values);
                            target.same_domain_ = std::get<1>(values);
                            target.slots_ = std::get<2>(values);
                            target.local_limit_ = target.slots_;
                            target.local_in_flight_ = std::get<3>(values);
                            target.reported_load_ = std::get<4>(values);
                            target.local_in_flight_at_report_ =
                                std::get<5>(values);
                            target.slow_start_weight_ =
                                std::get<6>(values) / 10.0;
                            target.probed_load_ = std::get<4>(values);
                            target.latency_ = milliseconds(std::get<5>(values));
                            return target;
                        });
}

std::vector<target_view> idle_targets(std::size_t count)
{
    return std::vector<target_view>(count);
}

std::optional<std::size_t> choose(std::string_view policy,
                                  const std::vector<target_view>& targets,
                                  std::uint64_t random = 7,
                                  std::uint64_t sequence = 0)
{
    const auto* found = choice_policy_registry::instance().find(policy);
    BOOST_REQUIRE(found != nullptr);
    return found->choose_(choice_input{targets, mix_bits(random), sequence});
}

} // namespace

BOOST_AUTO_TEST_SUITE(choice_policy_suite)

BOOST_AUTO_TEST_CASE(all_policies_are_registered)
{
    const auto names = choice_policy_registry::instance().names();
    const std::set<std::string> found(names.begin(), names.end());
    for (const char* name : {"random",
                             "round_robin",
                             "two_choices",
                             "hot_cold_probing",
                             "least_load",
                             "home_dispatch"})
    {
        BOOST_TEST(found.count(name) == 1u);
    }
}

RC_BOOST_PROP(no_policy_chooses_a_target_without_room,
              (std::uint64_t random, std::uint64_t sequence))
{
    const auto targets =
        *rc::gen::container<std::vector<target_view>>(any_target());
    for (const auto& name : choice_policy_registry::instance().names())
    {
        const auto chosen = choose(name, targets, random, sequence);
        // The macro takes || apart, so that it would not stop early.
        RC_ASSERT((!chosen || *chosen < targets.size()));
        RC_ASSERT((!chosen || has_room(targets[*chosen])));
    }
}

RC_BOOST_PROP(baselines_and_least_load_choose_whenever_a_target_has_room,
              (std::uint64_t random, std::uint64_t sequence))
{
    const auto targets =
        *rc::gen::container<std::vector<target_view>>(any_target());
    const bool any = std::any_of(targets.begin(), targets.end(), has_room);
    for (const char* name : {"random",
                             "round_robin",
                             "two_choices",
                             "hot_cold_probing",
                             "least_load"})
    {
        RC_ASSERT(choose(name, targets, random, sequence).has_value() == any);
    }
}

BOOST_AUTO_TEST_CASE(no_policy_chooses_without_targets)
{
    for (const auto& name : choice_policy_registry::instance().names())
    {
        BOOST_TEST(!choose(name, {}).has_value());
    }
}

BOOST_AUTO_TEST_CASE(random_chooses_targets_uniformly)
{
    const auto targets = idle_targets(5);
    std::vector<int> hits(targets.size());
    for (std::uint64_t draw = 0; draw < 5000; ++draw)
    {
        ++hits[*choose("random", targets, draw)];
    }
    for (const int count : hits)
    {
        BOOST_TEST(count > 850);
        BOOST_TEST(count < 1150);
    }
}

BOOST_AUTO_TEST_CASE(round_robin_takes_turns_and_passes_over_full_targets)
{
    auto targets = idle_targets(3);
    targets[1].local_in_flight_ = targets[1].local_limit_;
    BOOST_TEST(*choose("round_robin", targets, 1, 0) == 0u);
    BOOST_TEST(*choose("round_robin", targets, 1, 1) == 2u);
    BOOST_TEST(*choose("round_robin", targets, 1, 2) == 2u);
    BOOST_TEST(*choose("round_robin", targets, 1, 3) == 0u);
}

BOOST_AUTO_TEST_CASE(two_choices_never_chooses_the_most_loaded_target)
{
    auto targets = idle_targets(4);
    targets[2].local_in_flight_ = 5;
    for (std::uint64_t draw = 0; draw < 500; ++draw)
    {
        BOOST_TEST(*choose("two_choices", targets, draw) != 2u);
    }
}

BOOST_AUTO_TEST_CASE(hot_cold_prefers_cold_targets_then_low_latency)
{
    auto targets = idle_targets(3);
    for (auto& target : targets)
    {
        target.probed_load_ = 8;
        target.latency_ = milliseconds(50.0);
    }
    targets[2].latency_ = milliseconds(10.0);
    BOOST_TEST(*choose("hot_cold_probing", targets) == 2u);
    targets[1].probed_load_ = 2;
    BOOST_TEST(*choose("hot_cold_probing", targets) == 1u);
}

BOOST_AUTO_TEST_CASE(least_load_counts_calls_of_other_vms_by_report)
{
    auto targets = idle_targets(2);
    targets[0].reported_load_ = 6;
    targets[0].local_in_flight_ = 1;
    targets[0].local_in_flight_at_report_ = 1;
    targets[1].reported_load_ = 3;
    targets[1].local_in_flight_ = 3;
    targets[1].local_in_flight_at_report_ = 3;
    for (std::uint64_t draw = 0; draw < 100; ++draw)
    {
        BOOST_TEST(*choose("least_load", targets, draw) == 1u);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(home_dispatch)

namespace
{

// Two own targets and one of another domain; calls take 20 ms.
std::vector<target_view> two_local_and_one_remote()
{
    auto targets = idle_targets(3);
    for (auto& target : targets)
    {
        target.latency_ = milliseconds(20.0);
        target.local_limit_ = 2 * target.slots_;
    }
    targets[2].same_domain_ = false;
    return targets;
}

std::optional<std::size_t>
choose_with_waiting(const std::vector<target_view>& targets,
                    std::size_t waiting)
{
    const auto* policy =
        choice_policy_registry::instance().find("home_dispatch");
    return policy->choose_({targets, mix_bits(3), 0, waiting});
}

void fill_local(std::vector<target_view>& targets, int calls)
{
    targets[0].local_in_flight_ = calls;
    targets[1].local_in_flight_ = calls;
}

} // namespace

BOOST_AUTO_TEST_CASE(local_domain_is_filled_evenly_before_another_one)
{
    auto targets = two_local_and_one_remote();
    std::vector<int> sent(targets.size());
    for (int call = 0; call < 12; ++call)
    {
        const auto chosen = *choose_with_waiting(targets, 1);
        ++targets[chosen].local_in_flight_;
        ++sent[chosen];
        BOOST_TEST(std::abs(sent[0] - sent[1]) <= 1);
    }
    BOOST_TEST(sent[2] == 0);
}

struct waiting_case
{
    const char* name_;
    int local_in_flight_;
    int remote_reported_;
    std::size_t waiting_;
    std::optional<std::size_t> chosen_;
};

BOOST_AUTO_TEST_CASE(choices_when_the_local_domain_is_full)
{
    // One waiting call waits 20 ms / 12 slots = 1.7 ms here.
    const waiting_case cases[] = {
        {"spill where a slot is free", 6, 0, 1, 2},
        {"wait rather than queue at a full target", 6, 6, 1, std::nullopt},
        {"spill where the queue is shorter", 6, 7, 8, 2},
        {"never to a target where the wait is longer", 7, 30, 8, std::nullopt},
        {"nothing while all are past their slots", 7, 12, 8, std::nullopt},
    };
    for (const auto& row : cases)
    {
        BOOST_TEST_CONTEXT(row.name_)
        {
            auto targets = two_local_and_one_remote();
            fill_local(targets, row.local_in_flight_);
            targets[2].reported_load_ = row.remote_reported_;
            const auto chosen = choose_with_waiting(targets, row.waiting_);
            BOOST_TEST((chosen == row.chosen_));
        }
    }
}

BOOST_AUTO_TEST_CASE(no_spill_for_a_short_wait)
{
    auto targets = two_local_and_one_remote();
    for (auto& target : targets)
    {
        target.latency_ = milliseconds(5.0);
    }
    fill_local(targets, 6);
    BOOST_TEST(!choose_with_waiting(targets, 1).has_value());
    BOOST_TEST((choose_with_waiting(targets, 3) == std::size_t{2}));
}

BOOST_AUTO_TEST_CASE(local_targets_are_overfilled_by_one_call_at_most)
{
    auto targets = two_local_and_one_remote();
    targets.pop_back();
    int sent = 0;
    while (const auto chosen = choose_with_waiting(targets, 50))
    {
        ++targets[*chosen].local_in_flight_;
        ++sent;
        BOOST_REQUIRE(sent <= 14);
    }
    BOOST_TEST(sent == 14);
}

// Calls of other domains can't push the own ones out: else two domains could
// settle at using each other's targets.
BOOST_AUTO_TEST_CASE(spilled_calls_do_not_count_against_local_slots)
{
    auto targets = two_local_and_one_remote();
    targets[0].reported_load_ = 6;
    targets[1].reported_load_ = 6;
    const auto chosen = choose_with_waiting(targets, 1);
    BOOST_REQUIRE(chosen.has_value());
    BOOST_TEST(targets[*chosen].same_domain_);
}

BOOST_AUTO_TEST_CASE(other_domain_is_used_without_local_targets)
{
    auto targets = two_local_and_one_remote();
    targets[0].eligible_ = false;
    targets[1].eligible_ = false;
    BOOST_TEST((choose_with_waiting(targets, 1) == std::size_t{2}));
}

BOOST_AUTO_TEST_SUITE_END()
