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

// A target with a load report that is 1 ms old.
target_view
freshly_reported(int load, double slowdown = 1.0, bool same_domain = true)
{
    target_view view;
    view.reported_load_ = load;
    view.report_age_ = milliseconds(1.0);
    view.reported_slowdown_ = slowdown;
    view.same_domain_ = same_domain;
    view.local_limit_ = 12;
    return view;
}

target_view not_reported(bool same_domain = true)
{
    target_view view;
    view.same_domain_ = same_domain;
    view.local_limit_ = 12;
    return view;
}

// A call whose work takes 120 ms that has waited and has 1 s left.
choice_input call_for(const std::vector<target_view>& targets,
                      milliseconds waited = milliseconds(0.0))
{
    choice_input input{targets};
    input.random_ = 20261204;
    input.may_query_ = true;
    input.work_time_ = milliseconds(120.0);
    input.time_left_ = milliseconds(1000.0);
    input.waited_ = waited;
    input.unslowed_awaited_for_ = waited;
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
    const std::vector<target_view> targets{freshly_reported(3),
                                           freshly_reported(1),
                                           freshly_reported(0, 1.0, false),
                                           not_reported()};
    BOOST_TEST(*choose(call_for(targets)) == 1U);
}

// Machines that other workloads slow down by a factor of five for a fraction of
// a second: a call of 120 ms takes 480 ms longer there.
BOOST_AUTO_TEST_CASE(slowed_target_is_chosen_once_waiting_took_as_long)
{
    const std::vector<target_view> targets{freshly_reported(0, 5.0),
                                           freshly_reported(0, 5.0)};
    BOOST_TEST(!choose(call_for(targets)).has_value());
    BOOST_TEST(!choose(call_for(targets, milliseconds(470.0))).has_value());
    BOOST_TEST(choose(call_for(targets, milliseconds(480.0))).has_value());
}

// The call could end at the slowed target before its deadline now, but not
// after one more round of load queries.
BOOST_AUTO_TEST_CASE(slowed_target_is_chosen_at_the_last_chance)
{
    const std::vector<target_view> targets{freshly_reported(0, 5.0)};
    auto input = call_for(targets);
    input.time_left_ = milliseconds(620.0);
    BOOST_TEST(!choose(input).has_value());
    input.time_left_ = milliseconds(610.0);
    BOOST_TEST(choose(input).has_value());
}

// The call would occupy a slot and end with an unknown outcome.
BOOST_AUTO_TEST_CASE(slowed_target_that_would_miss_the_deadline_is_not_chosen)
{
    const std::vector<target_view> targets{freshly_reported(0, 5.0)};
    auto input = call_for(targets, milliseconds(900.0));
    input.time_left_ = milliseconds(590.0);
    BOOST_TEST(!choose(input).has_value());
}

BOOST_AUTO_TEST_CASE(other_domain_is_used_after_one_round_of_load_queries)
{
    const std::vector<target_view> targets{freshly_reported(6),
                                           freshly_reported(6),
                                           freshly_reported(2, 1.0, false)};
    BOOST_TEST(!choose(call_for(targets)).has_value());
    BOOST_TEST(*choose(call_for(targets, load_query_wait_limit)) == 2U);
    auto hurried = call_for(targets);
    hurried.time_left_ = milliseconds(130.0);
    BOOST_TEST(*choose(hurried) == 2U);
}

// No target of the local domain can be waited for.
BOOST_AUTO_TEST_CASE(other_domain_is_used_at_once_without_a_local_target)
{
    std::vector<target_view> targets{freshly_reported(0),
                                     freshly_reported(2, 1.0, false)};
    targets[0].eligible_ = false;
    BOOST_TEST(*choose(call_for(targets)) == 1U);
}

// A call that waits longer, with the same time left, is given a target wherever
// one that waits less is.
RC_BOOST_PROP(longer_wait_never_loses_a_target, ())
{
    const double slowdown = *rc::gen::inRange(100, 600) / 100.0;
    const bool same_domain = *rc::gen::arbitrary<bool>();
    const std::vector<target_view> targets{
        freshly_reported(0, slowdown, same_domain)};
    const milliseconds waited(*rc::gen::inRange(0, 1000));
    auto input = call_for(targets, waited);
    input.time_left_ = milliseconds(*rc::gen::inRange(0, 2000));
    if (!choose(input))
    {
        return;
    }
    input.waited_ = input.waited_ * 2.0;
    input.unslowed_awaited_for_ = input.waited_;
    RC_ASSERT(choose(input).has_value());
}

BOOST_AUTO_TEST_CASE(targets_are_filled_up_to_their_best_concurrency)
{
    std::vector<target_view> targets{freshly_reported(4), freshly_reported(4)};
    for (auto& target : targets)
    {
        target.best_concurrency_ = 4;
    }
    BOOST_TEST(!choose(call_for(targets)).has_value());
    // This holds even for a call that would be refused otherwise: it would slow
    // down the calls in flight there and those that come after them.
    BOOST_TEST(!choose(call_for(targets, milliseconds(900.0))).has_value());
    const std::vector<target_view> full{freshly_reported(6),
                                        freshly_reported(7)};
    BOOST_TEST(!choose(call_for(full, milliseconds(900.0))).has_value());
}

BOOST_AUTO_TEST_CASE(calls_sent_since_the_report_count)
{
    std::vector<target_view> targets{freshly_reported(0), freshly_reported(2)};
    targets[0].sent_since_report_ = 5;
    BOOST_TEST(*choose(call_for(targets)) == 1U);
}

BOOST_AUTO_TEST_CASE(only_unslowed_targets_are_chosen_while_reports_are_awaited)
{
    const std::vector<target_view> targets{freshly_reported(1, 5.0),
                                           not_reported()};
    auto input = call_for(targets, milliseconds(900.0));
    input.awaits_load_reports_ = true;
    BOOST_TEST(!choose(input).has_value());
    const std::vector<target_view> good{freshly_reported(1), not_reported()};
    auto other = call_for(good);
    other.awaits_load_reports_ = true;
    BOOST_TEST(*choose(other) == 0U);
}

BOOST_AUTO_TEST_CASE(old_reports_are_used_only_if_queries_are_not_allowed)
{
    std::vector<target_view> targets{freshly_reported(0)};
    targets[0].report_age_ = milliseconds(500.0);
    BOOST_TEST(!choose(call_for(targets)).has_value());
    auto without_queries = call_for(targets);
    without_queries.may_query_ = false;
    BOOST_TEST(choose(without_queries).has_value());
}

BOOST_AUTO_TEST_CASE(unhealthy_report_raises_the_cost_but_does_not_exclude)
{
    std::vector<target_view> targets{freshly_reported(0), freshly_reported(3)};
    targets[0].reports_unhealthy_ = true;
    BOOST_TEST(*choose(call_for(targets)) == 1U);
    targets[1].eligible_ = false;
    BOOST_TEST(*choose(call_for(targets)) == 0U);
}

BOOST_AUTO_TEST_CASE(three_targets_of_the_local_domain_are_queried)
{
    const std::vector<target_view> targets{not_reported(),
                                           not_reported(),
                                           not_reported(false),
                                           not_reported(),
                                           not_reported(),
                                           freshly_reported(0)};
    const auto queried = policy().select_load_queries_(call_for(targets));
    BOOST_TEST(queried.size() == 3U);
    for (const auto index : queried)
    {
        BOOST_TEST(targets[index].same_domain_);
        BOOST_TEST(targets[index].reported_load_ < 0);
    }
}

BOOST_AUTO_TEST_CASE(other_domains_are_queried_after_one_round_of_load_queries)
{
    const std::vector<target_view> targets{freshly_reported(6),
                                           not_reported(false)};
    BOOST_TEST(policy().select_load_queries_(call_for(targets)).empty());
    const auto queried =
        policy().select_load_queries_(call_for(targets, load_query_wait_limit));
    BOOST_TEST_REQUIRE(queried.size() == 1U);
    BOOST_TEST(queried[0] == 1U);
}

// A VM with few calls for many targets reuses its connections.
BOOST_AUTO_TEST_CASE(connected_targets_are_preferred_for_queries)
{
    std::vector<target_view> targets(40, not_reported());
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

// Guards against cold targets that get more than their rate, and against calls
// that leave the failure domain although a cold target has a permit.
BOOST_AUTO_TEST_CASE(cold_targets_need_a_permit_and_come_after_warm_ones)
{
    std::vector<target_view> targets{freshly_reported(5),
                                     freshly_reported(0),
                                     freshly_reported(0, 1.0, false),
                                     freshly_reported(0, 1.0, false)};
    targets[1].cold_ = true;
    targets[3].cold_ = true;
    targets[1].has_permit_ = true;
    targets[3].has_permit_ = true;
    // A warm local target with room is first, however busy.
    BOOST_TEST(*choose(call_for(targets)) == 0U);
    targets[0].reported_load_ = 6;
    BOOST_TEST(*choose(call_for(targets)) == 1U);
    targets[1].has_permit_ = false;
    BOOST_TEST(*choose(call_for(targets, load_query_wait_limit)) == 2U);
    targets[2].reported_load_ = 6;
    BOOST_TEST(*choose(call_for(targets, load_query_wait_limit)) == 3U);
    targets[3].has_permit_ = false;
    BOOST_TEST(!choose(call_for(targets, load_query_wait_limit)).has_value());
}

// Guards against permits that are taken for calls that a warm target can run.
BOOST_AUTO_TEST_CASE(permits_are_requested_only_without_a_warm_local_target)
{
    const auto requested = [](const choice_input& input)
    {
        return policy().choose_cold_target_(input);
    };
    std::vector<target_view> targets{freshly_reported(5),
                                     freshly_reported(0),
                                     freshly_reported(6, 1.0, false),
                                     freshly_reported(0, 1.0, false)};
    targets[1].cold_ = true;
    targets[3].cold_ = true;
    BOOST_TEST(!requested(call_for(targets)).has_value());
    targets[0].reported_load_ = 6;
    BOOST_TEST(*requested(call_for(targets)) == 1U);
    targets[1].has_permit_ = true;
    BOOST_TEST(!requested(call_for(targets)).has_value());
    targets[1].has_permit_ = false;
    targets[1].reported_load_ = 6;
    BOOST_TEST(!requested(call_for(targets)).has_value());
    BOOST_TEST(*requested(call_for(targets, load_query_wait_limit)) == 3U);
    targets[2].reported_load_ = 0;
    BOOST_TEST(
        !requested(call_for(targets, load_query_wait_limit)).has_value());
}

// Guards against calls that wait until all cold targets of a failure domain
// that has returned at once were queried.
BOOST_AUTO_TEST_CASE(other_domains_are_queried_beside_a_cold_local_target)
{
    std::vector<target_view> targets(10, not_reported());
    for (auto& target : targets)
    {
        target.cold_ = true;
    }
    targets.resize(20, not_reported(false));
    const auto queried = policy().select_load_queries_(call_for(targets));
    BOOST_TEST_REQUIRE(queried.size() == 3U);
    BOOST_TEST(targets[queried[0]].cold_);
    BOOST_TEST(!targets[queried[1]].same_domain_);
    BOOST_TEST(!targets[queried[2]].same_domain_);
    // Warm local targets are queried before cold ones.
    for (std::size_t i = 0; i < 3; ++i)
    {
        targets[i].cold_ = false;
    }
    for (const auto index : policy().select_load_queries_(call_for(targets)))
    {
        BOOST_TEST(index < 3U);
    }
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
