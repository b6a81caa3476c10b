#include <av_proxy/av_proxy.hpp>
#include <av_proxy/response_status.hpp>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <utility>
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

std::map<std::string, rule_spec> make_rules()
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
    return rules;
}

std::shared_ptr<const routing_table> build_table(const release& value,
                                                 const routing_table* previous)
{
    const fleet_view fleet;
    const routing_table_input input{
        value,
        std::make_shared<const rule_matcher>(value.rules_),
        value.targets_,
        fleet,
        2,
        previous};
    return build_routing_table(input, milliseconds(1.0));
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
    const rule_matcher matcher(make_rules());
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

// Returns whether the rule applies, by the text of the prefix alone.
bool applies(const rule_spec& rule, const request_head& head)
{
    const auto path = head.target_.substr(0, head.target_.find('?'));
    auto prefix = rule.path_prefix_;
    bool covered = path.compare(0, prefix.size(), prefix) == 0;
    if (!rule.plain_prefix_)
    {
        // Whole segments: a slash after the path makes its last one whole too.
        prefix += prefix.back() == '/' ? "" : "/";
        covered = (path + "/").compare(0, prefix.size(), prefix) == 0;
    }
    const auto& methods = rule.methods_;
    const bool has_method =
        methods.empty() ||
        std::find(methods.begin(), methods.end(), head.method_) !=
            methods.end();
    return covered && has_method &&
           (rule.host_.empty() || rule.host_ == head.host_);
}

// Returns what a rule that precedes another one has more of: the length of the
// prefix, then the number of conditions.
std::pair<std::size_t, int> precedence(const rule_spec& rule)
{
    auto prefix = rule.path_prefix_;
    if (!rule.plain_prefix_ && prefix.back() == '/')
    {
        prefix.pop_back();
    }
    return {prefix.size(),
            (rule.host_.empty() ? 0 : 1) + (rule.methods_.empty() ? 0 : 1)};
}

// The index finds the same rule as trying all of them in order. Short segments
// over few letters make prefixes of each other likely.
RC_BOOST_PROP(the_index_finds_the_rule_that_precedes_all_others, ())
{
    const auto segment = []
    {
        return *rc::gen::elementOf(
            std::vector<std::string>{"a", "b", "ab", "aa"});
    };
    const auto random_path = [&segment]
    {
        std::string path = "/";
        const auto segments = *rc::gen::inRange(0, 4);
        for (int i = 0; i < segments; ++i)
        {
            path += segment() + (*rc::gen::arbitrary<bool>() ? "/" : "");
        }
        return path;
    };
    std::map<std::string, rule_spec> rules;
    const auto count = *rc::gen::inRange(0, 12);
    for (int number = 0; number < count; ++number)
    {
        auto rule = make_rule("rule-" + std::to_string(number), random_path());
        rule.plain_prefix_ = *rc::gen::arbitrary<bool>();
        rule.host_ = *rc::gen::arbitrary<bool>() ? "h" : "";
        if (*rc::gen::inRange(0, 4) == 0)
        {
            rule.methods_ = {"POST"};
        }
        rules[rule.name_] = rule;
    }
    request_head head;
    head.method_ = *rc::gen::elementOf(std::vector<std::string>{"GET", "POST"});
    head.host_ = *rc::gen::elementOf(std::vector<std::string>{"h", "i"});
    head.target_ = random_path() + (*rc::gen::arbitrary<bool>() ? "?x=/a" : "");
    const rule_spec* expected = nullptr;
    for (const auto& entry : rules)
    {
        if (applies(entry.second, head) &&
            (expected == nullptr ||
             precedence(entry.second) > precedence(*expected)))
        {
            expected = &entry.second;
        }
    }
    const rule_matcher matcher(rules);
    const auto* found = matcher.match(head);
    RC_ASSERT((found == nullptr) == (expected == nullptr));
    if (found != nullptr)
    {
        RC_ASSERT(precedence(*found) == precedence(*expected));
    }
}

BOOST_AUTO_TEST_CASE(states_are_kept_while_name_and_address_stay)
{
    const auto first = build_table(make_release("127.0.0.1:1"), nullptr);
    auto changed = make_release("127.0.0.1:1");
    changed.targets_["kits-1"].slots_ = 9;
    const auto second = build_table(changed, first.get());
    const auto moved = build_table(make_release("127.0.0.1:2"), second.get());
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

// Guards against calls that overload a cold target: the information that
// arrived last counts, but an entry that is still on its way when the target
// becomes cold again doesn't make it warm.
BOOST_AUTO_TEST_CASE(coldness_follows_entries_and_health_responses)
{
    auto value = make_release("10.0.0.1:80");
    auto& spec = value.targets_["kits-1"];
    spec.cold_for_ = milliseconds(3000.0);
    const auto without_rate = build_table(value, nullptr);
    auto& ignored =
        *without_rate->find_service("kits")->targets_.front().state_;
    BOOST_TEST(!is_cold(ignored, milliseconds(2.0)));

    value.services_["kits"].cold_rate_per_second_ = 4.5;
    const auto first = build_table(value, nullptr);
    auto& state = *first->find_service("kits")->targets_.front().state_;
    BOOST_TEST(is_cold(state, milliseconds(3000.0)));
    BOOST_TEST(!is_cold(state, milliseconds(3001.0)));
    // The same entry in a new table says nothing new.
    state.cold_until_ms_.store(-1.0);
    const auto second = build_table(value, first.get());
    BOOST_TEST(!is_cold(state, milliseconds(2.0)));
    spec.cold_for_ = milliseconds(1000.0);
    const auto third = build_table(value, second.get());
    BOOST_TEST(is_cold(state, milliseconds(1000.0)));

    const auto from_health = coldness_source::health_response;
    const auto from_entry = coldness_source::store_entry;
    const milliseconds none(0.0);
    record_coldness(state, none, from_health, milliseconds(900.0));
    BOOST_TEST(!is_cold(state, milliseconds(900.0)));
    const milliseconds long_time(3000.0);
    record_coldness(state, long_time, from_health, milliseconds(2100.0));
    record_coldness(state, none, from_entry, milliseconds(2200.0));
    BOOST_TEST(is_cold(state, milliseconds(2200.0)));
    record_coldness(state, none, from_entry, milliseconds(4700.0));
    BOOST_TEST(!is_cold(state, milliseconds(4700.0)));
}

// Guards against calls that overload a target that is cold again before the
// VM has learnt that it was warm, so that only the revision of its entry has
// changed.
BOOST_AUTO_TEST_CASE(a_target_is_cold_again_for_the_same_time)
{
    auto value = make_release("10.0.0.1:80");
    value.services_["kits"].cold_rate_per_second_ = 4.5;
    auto& spec = value.targets_["kits-1"];
    spec.cold_for_ = milliseconds(3000.0);
    spec.cold_revision_ = 5;
    const auto first = build_table(value, nullptr);
    auto& state = *first->find_service("kits")->targets_.front().state_;
    state.cold_until_ms_.store(-1.0);
    spec.cold_revision_ = 6;
    const auto second = build_table(value, first.get());
    BOOST_TEST(second->find_service("kits")->targets_.front().state_.get() ==
               &state);
    BOOST_TEST(is_cold(state, milliseconds(3000.0)));
}

// Each change of a target builds a table on every VM. Its cost must not grow
// with the rules, of which a release may have thousands: the table takes them
// from the matcher and needs none of the release's.
BOOST_AUTO_TEST_CASE(a_table_needs_no_rules_but_the_shared_matcher)
{
    auto value = make_release("127.0.0.1:1");
    const auto rules = std::make_shared<const rule_matcher>(make_rules());
    value.rules_.clear();
    const fleet_view fleet;
    const routing_table_input input{
        value, rules, value.targets_, fleet, 1, nullptr};
    const auto table = build_routing_table(input, milliseconds(1.0));
    request_head head;
    head.method_ = "GET";
    head.target_ = "/kits/4";
    head.host_ = "h";
    const auto* rule = table->rules_->match(head);
    BOOST_TEST_REQUIRE(rule != nullptr);
    BOOST_TEST(rule->name_ == "four");
    BOOST_TEST(table->rules_.get() == rules.get());
}

BOOST_AUTO_TEST_CASE(targets_of_unknown_services_are_omitted)
{
    auto value = make_release("127.0.0.1:1");
    value.targets_["other-1"].name_ = "other-1";
    value.targets_["other-1"].service_ = "other";
    const auto table = build_table(value, nullptr);
    BOOST_TEST(table->services_.size() == 1U);
    BOOST_TEST(table->find_service("kits")->targets_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(states_are_kept_among_many_targets)
{
    auto value = make_release("127.0.0.1:1");
    for (int number = 2; number < 40; ++number)
    {
        const auto name = "kits-" + std::to_string(number);
        value.targets_[name] = value.targets_["kits-1"];
        value.targets_[name].name_ = name;
    }
    const auto first = build_table(value, nullptr);
    value.targets_.erase("kits-17");
    value.targets_["kits-23"].incarnation_ = 5;
    const auto second = build_table(value, first.get());
    int kept = 0;
    for (const auto& target : second->find_service("kits")->targets_)
    {
        for (const auto& before : first->find_service("kits")->targets_)
        {
            kept += target.state_ == before.state_ ? 1 : 0;
        }
    }
    BOOST_TEST(kept == 37);
}

BOOST_AUTO_TEST_CASE(connections_of_all_vms_stay_below_the_limit)
{
    BOOST_TEST(connection_share(330, 24, 1) == 13);
    BOOST_TEST(connection_share(330, 24, 4) == 3);
    BOOST_TEST(connection_share(330, 120, 1) == 2);
    BOOST_TEST(connection_share(330, 1000, 2) == 1);
    BOOST_TEST(connection_share(330, 0, 1) == 330);
}

// A call that did not run never gets a status that means "unknown" (502 or
// 504), and a call that may have run never gets one that promises the opposite.
BOOST_AUTO_TEST_CASE(status_code_matches_the_outcome)
{
    for (const auto& entry : error_catalogue())
    {
        BOOST_TEST_CONTEXT(entry.name_)
        {
            const int not_run = status_of(not_run_reason(entry.kind_));
            BOOST_TEST((not_run != 502 && not_run != 504));
            const int unknown = status_of(unknown_outcome_reason(entry.kind_));
            for (const int promise : {408, 421, 429, 503})
            {
                BOOST_TEST(unknown != promise);
            }
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace anvilturn
