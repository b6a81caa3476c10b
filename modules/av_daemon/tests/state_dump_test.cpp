#include <av_daemon/metrics_page.hpp>
#include <av_daemon/state_dump.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <string>

using namespace anvilturn;

namespace
{

member_record make_member(const char* name,
                          const char* domain,
                          member_condition condition,
                          release_version version)
{
    member_record member;
    member.vm_.name_ = name;
    member.vm_.failure_domain_ = domain;
    member.condition_ = condition;
    member.newest_.release_ = version;
    return member;
}

daemon_state make_state()
{
    daemon_state state;
    state.control_.self_.name_ = "a-1";
    state.control_.self_.failure_domain_ = "a";
    state.control_.current_release_ = 7;
    state.control_.members_ = {
        make_member("a-2", "a", member_condition::alive, 7),
        make_member("b-1", "b", member_condition::alive, 6),
        make_member("b-2", "b", member_condition::lost, 5),
        make_member("b-3", "b", member_condition::left, 4)};
    state.requests_.reasons_[error_kind::queue_full] = 3;
    return state;
}

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_SUITE(state_dump)

BOOST_AUTO_TEST_CASE(release_status_counts_alive_vms_by_domain_and_version)
{
    const auto text = render_release_status(make_state());
    BOOST_TEST(contains(text, "{name: a, version: 7, vms: 2}"));
    BOOST_TEST(contains(text, "{name: b, version: 6, vms: 1}"));
    BOOST_TEST(!contains(text, "version: 5"));
    BOOST_TEST(!contains(text, "version: 4"));
}

BOOST_AUTO_TEST_CASE(dump_lists_vms_with_condition_and_calls_by_reason)
{
    const auto text = render_dump(make_state());
    for (const char* part : {"name: a-2",
                             "name: b-3",
                             "condition: left",
                             "condition: lost",
                             "queue_full: 3"})
    {
        BOOST_TEST(contains(text, part), part);
    }
}

BOOST_AUTO_TEST_CASE(members_metric_counts_alive_peers_and_the_local_vm)
{
    const auto samples = collect_metrics(make_state());
    const auto members =
        std::find_if(samples.begin(),
                     samples.end(),
                     [](const metric_sample& sample)
                     {
                         return sample.name_ == "anvilturn_members";
                     });
    BOOST_REQUIRE((members != samples.end()));
    BOOST_TEST(members->value_ == 3.0);
}

BOOST_AUTO_TEST_CASE(samples_of_one_metric_are_adjacent)
{
    auto state = make_state();
    state.requests_.targets_.resize(3);
    state.requests_.services_.resize(2);
    state.fleet_limits_.emplace();
    state.fleet_limits_->server_.emplace();
    std::vector<std::string> names;
    for (const auto& sample : collect_metrics(state))
    {
        if (names.empty() || names.back() != sample.name_)
        {
            names.push_back(sample.name_);
        }
    }
    std::sort(names.begin(), names.end());
    BOOST_TEST((std::adjacent_find(names.begin(), names.end()) == names.end()));
}

// Keys are secret, and the names of accounts bound the series of metrics.
BOOST_AUTO_TEST_CASE(dump_and_metrics_name_accounts_without_their_keys)
{
    auto state = make_state();
    auto value = std::make_shared<release>();
    value->accounts_["lestari"].name_ = "lestari";
    value->accounts_["lestari"].keys_ = {"ta828m82thhkmgjqnirt"};
    state.release_ = value;
    state.requests_.accounts_ = {{"lestari", 3, 1, 0}, {"", 9, 0, 0}};
    const auto text = render_dump(state);
    BOOST_TEST(contains(text, "name: lestari"));
    BOOST_TEST(contains(text, "accounts: 1"));
    BOOST_TEST(!contains(text, "ta828"));
    const auto samples = collect_metrics(state);
    const auto count = std::count_if(samples.begin(),
                                     samples.end(),
                                     [](const metric_sample& sample)
                                     {
                                         return sample.name_ ==
                                                "anvilturn_account_calls_total";
                                     });
    BOOST_TEST(count == 6);
}

// Deployments without limits for all VMs together must not see them.
BOOST_AUTO_TEST_CASE(fleet_limits_are_shown_where_there_are_some)
{
    const auto has_sample = [](const daemon_state& state, const char* name)
    {
        const auto samples = collect_metrics(state);
        return std::any_of(samples.begin(),
                           samples.end(),
                           [name](const metric_sample& sample)
                           {
                               return sample.name_ == name;
                           });
    };
    auto state = make_state();
    BOOST_TEST(!contains(render_dump(state), "fleet_limits"));
    BOOST_TEST(!has_sample(state, "anvilturn_permits_total"));
    state.fleet_limits_.emplace();
    state.fleet_limits_->grantors_ = {"127.0.36.1:5"};
    state.fleet_limits_->over_limit_ = 17;
    BOOST_TEST(contains(render_dump(state), "- 127.0.36.1:5"));
    BOOST_TEST(contains(render_dump(state), "over_limit: 17"));
    BOOST_TEST(!contains(render_dump(state), "as_grantor"));
    BOOST_TEST(has_sample(state, "anvilturn_permits_total"));
    BOOST_TEST(!has_sample(state, "anvilturn_grant_permits_total"));
    state.fleet_limits_->server_.emplace();
    BOOST_TEST(contains(render_dump(state), "as_grantor"));
    BOOST_TEST(has_sample(state, "anvilturn_grant_permits_total"));
}

BOOST_AUTO_TEST_SUITE_END()
