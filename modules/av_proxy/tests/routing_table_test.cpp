#include <av_proxy/av_proxy.hpp>
#include <av_proxy/response_status.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

namespace anvilturn
{
namespace
{

rule_spec make_rule(const std::string& name, const std::string& prefix)
{
    rule_spec rule;
    rule.name_ = name;
    rule.path_prefix_ = prefix;
    rule.service_ = name;
    return rule;
}

rule_matcher make_matcher()
{
    std::map<std::string, rule_spec> rules;
    rules["root"] = make_rule("root", "/");
    rules["kits"] = make_rule("kits", "/kits");
    rules["four"] = make_rule("four", "/kits/4/");
    rules["post"] = make_rule("post", "/kits");
    rules["post"].methods_ = {"POST", "PUT"};
    rules["shop"] = make_rule("shop", "/kits");
    rules["shop"].host_ = "shop.example";
    rules["shop"].methods_ = {"POST"};
    rules["proof"] = make_rule("proof", "/proof");
    rules["proof"].header_name_ = "X-Kind";
    rules["proof"].header_value_ = "proof";
    return rule_matcher(rules);
}

release make_release(const std::string& address)
{
    release value;
    value.version_ = 1;
    value.services_["kits"].name_ = "kits";
    value.targets_["kits-1"].name_ = "kits-1";
    value.targets_["kits-1"].service_ = "kits";
    value.targets_["kits-1"].address_ = address;
    return value;
}

} // namespace

BOOST_AUTO_TEST_SUITE(routing)

BOOST_AUTO_TEST_CASE(longest_prefix_then_most_conditions)
{
    struct matched
    {
        const char* method_;
        const char* target_;
        const char* host_;
        const char* rule_;
    };
    const std::vector<matched> cases{
        {"GET", "/", "h", "root"},
        {"GET", "/kits", "h", "kits"},
        {"GET", "/kits?x=/kits/4", "h", "kits"},
        {"GET", "/kits/5", "h", "kits"},
        {"GET", "/kitsch", "h", "root"},
        {"GET", "/kits/4", "h", "four"},
        {"POST", "/kits/4/a", "h", "four"},
        {"GET", "/kits/44", "h", "kits"},
        {"PUT", "/kits", "h", "post"},
        {"POST", "/kits", "shop.example", "shop"},
        {"GET", "/proof", "h", "root"},
    };
    const auto matcher = make_matcher();
    for (const auto& one : cases)
    {
        BOOST_TEST_CONTEXT(one.method_ << " " << one.host_ << one.target_)
        {
            request_head head;
            head.method_ = one.method_;
            head.target_ = one.target_;
            head.host_ = one.host_;
            const auto* rule = matcher.match(head);
            BOOST_TEST_REQUIRE(rule != nullptr);
            BOOST_TEST(rule->name_ == one.rule_);
        }
    }
    request_head head;
    head.method_ = "GET";
    head.target_ = "/proof";
    head.fields_ = "Accept: a\r\nx-kind: proof\r\n";
    BOOST_TEST(matcher.match(head)->name_ == "proof");
    BOOST_TEST(rule_matcher().match(head) == nullptr);
}

BOOST_AUTO_TEST_CASE(states_are_kept_while_name_and_address_stay)
{
    const fleet_view fleet;
    const auto first = build_routing_table(
        make_release("127.0.0.1:1"), fleet, 2, nullptr, milliseconds(1.0));
    auto changed = make_release("127.0.0.1:1");
    changed.targets_["kits-1"].slots_ = 9;
    const auto second =
        build_routing_table(changed, fleet, 2, first.get(), milliseconds(1.0));
    const auto moved = build_routing_table(
        make_release("127.0.0.1:2"), fleet, 2, second.get(), milliseconds(1.0));
    const auto state = [](const auto& table)
    {
        return table->find_service("kits")->targets_[0].state_;
    };
    BOOST_TEST(state(first) == state(second));
    BOOST_TEST(state(second) != state(moved));
    BOOST_TEST(second->find_service("kits")->targets_[0].spec_.slots_ == 9);
    BOOST_TEST(first->find_service("kits")->state_ ==
               moved->find_service("kits")->state_);
}

BOOST_AUTO_TEST_CASE(connections_of_all_vms_stay_below_the_limit)
{
    BOOST_TEST(connection_share(330, 24, 1) == 13);
    BOOST_TEST(connection_share(330, 24, 4) == 3);
    BOOST_TEST(connection_share(330, 120, 1) == 2);
    BOOST_TEST(connection_share(330, 1000, 2) == 1);
    BOOST_TEST(connection_share(330, 0, 1) == 330);
}

// A call that did not run is never told of with a status that means "unknown",
// nor the reverse.
BOOST_AUTO_TEST_CASE(status_code_matches_the_outcome)
{
    for (const auto& entry : error_catalogue())
    {
        BOOST_TEST_CONTEXT(entry.name_)
        {
            const int not_run = status_of(not_run_reason(entry.kind_));
            BOOST_TEST((not_run != 502 && not_run != 504));
            BOOST_TEST(status_of(unknown_outcome_reason(entry.kind_)) != 503);
        }
    }
}

BOOST_AUTO_TEST_CASE(slots_are_never_exceeded)
{
    target_state state("kits-1", "127.0.0.1:1");
    BOOST_TEST(try_acquire_slot(state, 2));
    BOOST_TEST(try_acquire_slot(state, 2));
    BOOST_TEST(!try_acquire_slot(state, 2));
    release_slot(state);
    BOOST_TEST(try_acquire_slot(state, 2));
}

BOOST_AUTO_TEST_CASE(outliers_are_excluded_down_to_the_floor)
{
    std::vector<target_entry> targets(4);
    for (auto& target : targets)
    {
        target.state_ = std::make_shared<target_state>("kits", "127.0.0.1:1");
    }
    const auto fail = [&](std::size_t index)
    {
        for (int i = 0; i < 3; ++i)
        {
            record_result(*targets[index].state_, true, milliseconds(1000.0));
        }
    };
    const auto eligible_at = [&](double now)
    {
        std::vector<target_view> views(targets.size());
        exclude_outliers(views, targets, milliseconds(now));
        return std::count_if(views.begin(),
                             views.end(),
                             [](const target_view& view)
                             {
                                 return view.eligible_;
                             });
    };
    BOOST_TEST(eligible_at(1001.0) == 4);
    fail(0);
    BOOST_TEST(eligible_at(1001.0) == 3);
    fail(1);
    fail(2);
    fail(3);
    BOOST_TEST(eligible_at(1001.0) == 2);
    BOOST_TEST(eligible_at(100000.0) == 4);
}

BOOST_AUTO_TEST_CASE(ejected_straggler_is_readmitted_in_slow_start)
{
    std::vector<target_entry> targets(3);
    for (auto& target : targets)
    {
        target.state_ = std::make_shared<target_state>("kits", "127.0.0.1:1");
        for (int i = 0; i < 5; ++i)
        {
            record_latency(*target.state_, milliseconds(4.0), 6);
        }
    }
    const milliseconds now(1000.0);
    BOOST_TEST(eject_stragglers(targets, now) == 0);
    for (int i = 0; i < 30; ++i)
    {
        record_latency(*targets[0].state_, milliseconds(100.0), 6);
    }
    BOOST_TEST(eject_stragglers(targets, now) == 1);
    BOOST_TEST(target_statistics_of({}, *targets[0].state_, now).ejected_);
    BOOST_TEST(eject_stragglers(targets, now) == 0);
    const auto warmth_after = [&](double time)
    {
        const auto until = targets[0].state_->ejected_until_ms_.load();
        return view_of({}, *targets[0].state_, milliseconds(until + time))
            .slow_start_weight_;
    };
    BOOST_TEST(warmth_after(1.0) < 0.2);
    BOOST_TEST(warmth_after(2000.0) == 1.0);
}

BOOST_AUTO_TEST_CASE(unreachable_target_is_retried_with_growing_backoff)
{
    target_state state("kits-1", "127.0.0.1:1");
    const auto at = [&](double now)
    {
        eligibility_input moment;
        moment.now_ = milliseconds(now);
        return eligibility({}, state, moment) == target_eligibility::eligible;
    };
    record_unreachable(state, milliseconds(1000.0));
    BOOST_TEST(!at(1499.0));
    BOOST_TEST(at(1500.0));
    record_unreachable(state, milliseconds(1500.0));
    BOOST_TEST(!at(2499.0));
    BOOST_TEST(at(2500.0));
}

BOOST_AUTO_TEST_CASE(newer_notices_override_older_ones)
{
    target_state state("kits-1", "127.0.0.1:1");
    const target_spec spec;
    const milliseconds now(1000.0);
    const auto notice = [&](target_notice_kind kind, double age)
    {
        target_notice value;
        value.kind_ = kind;
        value.age_ = milliseconds(age);
        apply_notice(state, value, now);
        eligibility_input moment;
        moment.now_ = now;
        return eligibility(spec, state, moment) == target_eligibility::eligible;
    };
    BOOST_TEST(!notice(target_notice_kind::draining, 100.0));
    BOOST_TEST(!notice(target_notice_kind::serving, 200.0));
    BOOST_TEST(notice(target_notice_kind::serving, 50.0));
}

BOOST_AUTO_TEST_CASE(paused_vm_waits_for_fresh_target_state)
{
    struct heard
    {
        const char* name_;
        double now_;
        double resumed_;
        double refreshed_;
        double answered_;
        bool isolated_;
        bool may_dispatch_;
    };
    const std::vector<heard> cases{
        {"never paused", 9000, -1, -1, -1, false, true},
        {"nothing heard since", 9100, 9000, 100, 100, false, false},
        {"control refreshed", 9100, 9000, 9050, 100, false, true},
        {"target answered", 9100, 9000, 100, 9050, false, true},
        {"cut off, too early", 9400, 9000, 100, 100, true, false},
        {"cut off, waited", 9500, 9000, 100, 100, true, true},
        {"not cut off, waited", 9500, 9000, 100, 100, false, false},
        {"control gave no sign", 12000, 9000, 100, 100, false, true},
    };
    for (const auto& one : cases)
    {
        BOOST_TEST_CONTEXT(one.name_)
        {
            freshness_input facts;
            facts.now_ = milliseconds(one.now_);
            facts.resumed_at_ = milliseconds(one.resumed_);
            facts.refreshed_at_ = milliseconds(one.refreshed_);
            facts.answered_at_ = milliseconds(one.answered_);
            facts.isolated_ = one.isolated_;
            BOOST_TEST(may_dispatch_to(facts) == one.may_dispatch_);
        }
    }
    BOOST_TEST(!was_paused(milliseconds(0.0), milliseconds(2000.0)));
    BOOST_TEST(was_paused(milliseconds(0.0), milliseconds(2000.1)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace anvilturn
