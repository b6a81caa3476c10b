#include <av_routing/choice_policy.hpp>
#include <av_routing/split_choice.hpp>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <cmath>
#include <set>
#include <vector>

using namespace anvilturn;

namespace
{

const choice_policy& policy()
{
    const auto* found = choice_policy_registry::instance().find("ask_first");
    BOOST_TEST_REQUIRE(found != nullptr);
    return *found;
}

// A target that has just said how busy it is.
target_view asked(int load, double slowdown = 1.0, bool same_domain = true)
{
    target_view view;
    view.reported_load_ = load;
    view.report_age_ = milliseconds(1.0);
    view.reported_slowdown_ = slowdown;
    view.same_domain_ = same_domain;
    view.local_limit_ = 12;
    return view;
}

target_view unasked(bool same_domain = true)
{
    target_view view;
    view.same_domain_ = same_domain;
    view.local_limit_ = 12;
    return view;
}

// A call of 120 ms usually, with an objective of 300 ms.
choice_input call_for(const std::vector<target_view>& targets,
                      double wait_limit_spent = 0.0)
{
    choice_input input{targets};
    input.random_ = 20261204;
    input.may_query_ = true;
    input.typical_time_ = milliseconds(120.0);
    input.objective_left_ = milliseconds(300.0);
    input.wait_limit_spent_ = wait_limit_spent;
    return input;
}

std::optional<std::size_t> choose(const choice_input& input)
{
    return policy().choose_(input);
}

} // namespace

BOOST_AUTO_TEST_SUITE(ask_first_suite)

BOOST_AUTO_TEST_CASE(least_loaded_target_of_the_local_domain_is_chosen)
{
    const std::vector<target_view> targets{
        asked(3), asked(1), asked(0, 1.0, false), unasked()};
    BOOST_TEST(*choose(call_for(targets)) == 1U);
}

// Machines that a neighbour slows five times for a fraction of a second.
BOOST_AUTO_TEST_CASE(slowed_target_is_chosen_only_at_the_wait_limit)
{
    const std::vector<target_view> targets{asked(0, 5.0), asked(0, 5.0)};
    BOOST_TEST(!choose(call_for(targets)).has_value());
    BOOST_TEST(!choose(call_for(targets, 0.9)).has_value());
    // Better late than refused.
    BOOST_TEST(choose(call_for(targets, 1.0)).has_value());
}

BOOST_AUTO_TEST_CASE(slowed_target_is_chosen_if_it_meets_the_objective)
{
    const std::vector<target_view> targets{asked(0, 2.0)};
    BOOST_TEST(choose(call_for(targets)).has_value());
}

BOOST_AUTO_TEST_CASE(other_domain_is_used_once_part_of_the_wait_limit_is_spent)
{
    const std::vector<target_view> targets{
        asked(6), asked(6), asked(2, 1.0, false)};
    BOOST_TEST(!choose(call_for(targets, 0.0)).has_value());
    BOOST_TEST(*choose(call_for(targets, 0.5)) == 2U);
}

BOOST_AUTO_TEST_CASE(targets_are_filled_up_to_their_best_concurrency)
{
    std::vector<target_view> targets{asked(4), asked(4)};
    for (auto& target : targets)
    {
        target.best_concurrency_ = 4;
    }
    BOOST_TEST(!choose(call_for(targets)).has_value());
    // Not even for a call that is refused otherwise: it would slow down those
    // that are there, and the calls that come after them.
    BOOST_TEST(!choose(call_for(targets, 1.0)).has_value());
    const std::vector<target_view> full{asked(6), asked(7)};
    BOOST_TEST(!choose(call_for(full, 1.0)).has_value());
}

BOOST_AUTO_TEST_CASE(calls_sent_since_the_report_count)
{
    std::vector<target_view> targets{asked(0), asked(2)};
    targets[0].sent_since_report_ = 5;
    BOOST_TEST(*choose(call_for(targets)) == 1U);
}

BOOST_AUTO_TEST_CASE(only_unslowed_targets_are_chosen_while_reports_are_awaited)
{
    const std::vector<target_view> targets{asked(1, 5.0), unasked()};
    auto input = call_for(targets, 1.0);
    input.awaits_load_reports_ = true;
    BOOST_TEST(!choose(input).has_value());
    const std::vector<target_view> good{asked(1), unasked()};
    auto other = call_for(good);
    other.awaits_load_reports_ = true;
    BOOST_TEST(*choose(other) == 0U);
}

BOOST_AUTO_TEST_CASE(old_reports_are_used_only_if_queries_are_not_allowed)
{
    std::vector<target_view> targets{asked(0)};
    targets[0].report_age_ = milliseconds(500.0);
    BOOST_TEST(!choose(call_for(targets)).has_value());
    auto without_queries = call_for(targets);
    without_queries.may_query_ = false;
    BOOST_TEST(choose(without_queries).has_value());
}

BOOST_AUTO_TEST_CASE(unhealthy_report_raises_the_cost_but_does_not_exclude)
{
    std::vector<target_view> targets{asked(0), asked(3)};
    targets[0].reports_unhealthy_ = true;
    BOOST_TEST(*choose(call_for(targets)) == 1U);
    targets[1].eligible_ = false;
    BOOST_TEST(*choose(call_for(targets)) == 0U);
}

BOOST_AUTO_TEST_CASE(three_targets_of_the_local_domain_are_queried)
{
    const std::vector<target_view> targets{
        unasked(), unasked(), unasked(false), unasked(), unasked(), asked(0)};
    const auto whom = policy().select_load_queries_(call_for(targets));
    BOOST_TEST(whom.size() == 3U);
    for (const auto index : whom)
    {
        BOOST_TEST(targets[index].same_domain_);
        BOOST_TEST(targets[index].reported_load_ < 0);
    }
}

BOOST_AUTO_TEST_CASE(
    other_domains_are_queried_once_part_of_the_wait_limit_is_spent)
{
    const std::vector<target_view> targets{asked(6), unasked(false)};
    BOOST_TEST(policy().select_load_queries_(call_for(targets, 0.0)).empty());
    const auto whom = policy().select_load_queries_(call_for(targets, 0.5));
    BOOST_TEST_REQUIRE(whom.size() == 1U);
    BOOST_TEST(whom[0] == 1U);
}

// A VM with few calls for many targets.
BOOST_AUTO_TEST_CASE(connected_targets_are_preferred_for_queries)
{
    std::vector<target_view> targets(40, unasked());
    for (std::size_t i = 0; i < 8; ++i)
    {
        targets[i].has_connection_ = true;
    }
    int connected = 0;
    int all = 0;
    for (std::uint64_t round = 0; round < 300; ++round)
    {
        auto input = call_for(targets);
        input.random_ = round * 7919 + 1;
        for (const auto index : policy().select_load_queries_(input))
        {
            connected += targets[index].has_connection_ ? 1 : 0;
            ++all;
        }
    }
    BOOST_TEST(connected > all / 2);
    BOOST_TEST(connected < all);
}

RC_BOOST_PROP(shares_match_weights_for_small_counts, ())
{
    const auto count = *rc::gen::inRange(2, 6);
    const auto weights = *rc::gen::container<std::vector<int>>(
        static_cast<std::size_t>(count), rc::gen::inRange(1, 100));
    const double phase = *rc::gen::inRange(0, 1000) / 1000.0;
    std::vector<weighted_service> parts;
    double total = 0.0;
    for (const int weight : weights)
    {
        parts.push_back({"s", static_cast<double>(weight)});
        total += weight;
    }
    constexpr int calls = 100;
    std::vector<int> counts(parts.size(), 0);
    for (int number = 0; number < calls; ++number)
    {
        ++counts[choose_part(parts, phase, static_cast<std::uint64_t>(number))];
    }
    for (std::size_t i = 0; i < parts.size(); ++i)
    {
        const double expected = calls * parts[i].weight_ / total;
        RC_ASSERT(std::abs(counts[i] - expected) <= 4.0);
    }
}

BOOST_AUTO_TEST_CASE(a_part_without_weight_gets_no_call)
{
    const std::vector<weighted_service> parts{{"a", 0.0}, {"b", 1.0}};
    for (std::uint64_t number = 0; number < 50; ++number)
    {
        BOOST_TEST(choose_part(parts, 0.3, number) == 1U);
    }
}

BOOST_AUTO_TEST_SUITE_END()
