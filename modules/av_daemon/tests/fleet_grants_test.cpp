#include <av_daemon/fleet_grants.hpp>
#include <av_daemon/grantors.hpp>
#include <av_settings/settings_reader.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace anvilturn
{
namespace
{

using address_list = std::vector<std::string>;

const std::string both_limits =
    "{account_window_s: 5, account_overrun: 0.1, account_slack: 20, "
    "cold_overrun: 1.5, cold_slack: 8}";

// The settings of a VM with the seeds and limits, in YAML.
settings make_settings(const std::string& seeds, const std::string& limits)
{
    const auto result = parse_settings(
        "vm: {name: a-1, failure_domain: a, deployment: hanoi, seed_peers: " +
            seeds +
            "}\nlisten: {callers: \"127.0.36.2:1\", peers: \"127.0.36.2:3\", "
            "operators: \"127.0.36.2:4\", grants: \"127.0.36.2:5\"}\n"
            "platform: {address: \"127.0.0.10:9000\", adapter: "
            "object-store}\nfleet_limits: " +
            limits + "\n",
        "vm.yaml");
    BOOST_REQUIRE(result.ok());
    return *result;
}

std::shared_ptr<const release> make_release()
{
    auto value = std::make_shared<release>();
    account_spec limited;
    limited.name_ = "school";
    limited.rate_per_second_ = 100.0;
    limited.burst_ = 50.0;
    value->accounts_["school"] = limited;
    account_spec unlimited;
    unlimited.name_ = "ward";
    value->accounts_["ward"] = unlimited;
    service_spec cold;
    cold.name_ = "stock";
    cold.cold_rate_per_second_ = 4.5;
    value->services_["stock"] = cold;
    service_spec warm;
    warm.name_ = "desk";
    value->services_["desk"] = warm;
    target_spec target;
    target.name_ = "stock-1";
    target.service_ = "stock";
    value->targets_["stock-1"] = target;
    return value;
}

struct grants_in_process
{
    boost::asio::io_context context_;
    std::shared_ptr<const release> release_ = make_release();
    fleet_grants grants_;

    explicit grants_in_process(const std::string& limits)
        : grants_(context_,
                  make_settings("[\"127.0.36.2:3\", \"127.0.36.3:3\"]", limits),
                  [this]
                  {
                      return release_;
                  })
    {
    }
};

BOOST_AUTO_TEST_SUITE(grantors_test)

// Different lists on two VMs would give more shares than the limit has.
BOOST_AUTO_TEST_CASE(grantors_do_not_depend_on_the_order_of_seeds)
{
    const address_list expected = {"127.0.36.2:5", "127.0.36.3:5"};
    for (const char* seeds :
         {"[\"127.0.36.2:3\", \"127.0.36.3:3\"]",
          "[\"127.0.36.3:3\", \"127.0.36.2:3\"]",
          "[\"127.0.36.3:3\", \"127.0.36.2:3\", \"127.0.36.3:4\"]"})
    {
        const auto value = make_settings(seeds, both_limits);
        BOOST_TEST((grantor_addresses(value) == expected));
        BOOST_TEST(is_grantor(value));
    }
}

// Guards against more shares than a limit has.
BOOST_AUTO_TEST_CASE(a_vm_that_is_no_seed_is_no_grantor)
{
    const auto value =
        make_settings("[\"127.0.36.1:3\", \"127.0.36.3:3\"]", both_limits);
    BOOST_TEST(grantor_addresses(value).size() == 2U);
    BOOST_TEST(!is_grantor(value));
}

// Guards against a single VM that refuses all calls with limits.
BOOST_AUTO_TEST_CASE(without_seeds_a_vm_is_its_own_grantor)
{
    const auto value = make_settings("[]", both_limits);
    BOOST_TEST((grantor_addresses(value) == address_list{"127.0.36.2:5"}));
    BOOST_TEST(is_grantor(value));
}

// Guards against shares so small that a VM must ask many grantors.
BOOST_AUTO_TEST_CASE(at_most_three_seeds_are_grantors)
{
    const auto value =
        make_settings("[\"127.0.36.9:3\", \"127.0.36.8:3\", \"127.0.36.7:3\", "
                      "\"127.0.36.2:3\"]",
                      both_limits);
    BOOST_TEST((grantor_addresses(value) ==
                address_list{"127.0.36.2:5", "127.0.36.7:5", "127.0.36.8:5"}));
}

// Guards against a port that is taken for a part of the address.
BOOST_AUTO_TEST_CASE(addresses_of_version_6_keep_their_brackets)
{
    const auto value = make_settings("[\"[fd00::1]:3\"]", both_limits);
    BOOST_TEST((grantor_addresses(value) == address_list{"[fd00::1]:5"}));
}

// A deployment without limits must have no server and no client.
BOOST_AUTO_TEST_CASE(without_limits_there_are_no_grantors)
{
    for (const char* limits : {"{}", "{account_slack: 20, cold_slack: 8}"})
    {
        const auto value = make_settings("[]", limits);
        BOOST_TEST(grantor_addresses(value).empty());
        BOOST_TEST(!is_grantor(value));
    }
}

// Guards against a bound that is left at its default, or is in another unit.
BOOST_AUTO_TEST_CASE(bounds_are_those_of_the_settings)
{
    const auto bounds = limit_bounds_of(make_settings("[]", both_limits));
    BOOST_TEST((bounds.account_window_ == milliseconds(5000.0)));
    BOOST_TEST(bounds.account_overrun_ == 0.1);
    BOOST_TEST(bounds.account_slack_ == 20.0);
    BOOST_TEST(bounds.cold_overrun_ == 1.5);
    BOOST_TEST(bounds.cold_slack_ == 8.0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(fleet_grants_test)

// Guards against a limit that stays in force after it was changed.
BOOST_AUTO_TEST_CASE(limits_are_those_of_the_newest_release)
{
    grants_in_process process(both_limits);
    const limit_key school{limit_kind::account, "school"};
    const auto before = process.grants_.limit_of(school);
    BOOST_REQUIRE(before.has_value());
    BOOST_TEST(before->rate_per_second_ == 100.0);
    auto changed = std::make_shared<release>(*process.release_);
    changed->accounts_["school"].rate_per_second_ = 10.0;
    process.release_ = changed;
    BOOST_TEST(process.grants_.limit_of(school)->rate_per_second_ == 10.0);
    process.release_ = nullptr;
    BOOST_TEST(!process.grants_.limit_of(school).has_value());
}

// A grant for a limit that does not exist would let the caller believe that
// there is one.
BOOST_AUTO_TEST_CASE(unknown_and_unlimited_keys_have_no_limit)
{
    grants_in_process process(both_limits);
    for (const auto& key : {limit_key{limit_kind::account, "ward"},
                            limit_key{limit_kind::account, "stock-1"},
                            limit_key{limit_kind::account, ""},
                            limit_key{limit_kind::cold_target, "school"},
                            limit_key{limit_kind::cold_target, "stock-2"},
                            limit_key{static_cast<limit_kind>(200), "school"}})
    {
        BOOST_TEST(!process.grants_.limit_of(key).has_value(), key.name_);
    }
}

// Guards against cold targets that the grantor doesn't know and that get no
// calls.
BOOST_AUTO_TEST_CASE(targets_are_found_in_the_release_or_by_registration)
{
    grants_in_process process(both_limits);
    const limit_key first{limit_kind::cold_target, "stock-1"};
    const limit_key second{limit_kind::cold_target, "stock-2"};
    const limit_key warm{limit_kind::cold_target, "desk-1"};
    BOOST_TEST(process.grants_.limit_of(first).has_value());
    std::map<std::string, target_spec> targets;
    targets["stock-2"].service_ = "stock";
    targets["desk-1"].service_ = "desk";
    process.grants_.set_targets(targets);
    BOOST_TEST(!process.grants_.limit_of(first).has_value());
    BOOST_TEST(process.grants_.limit_of(second).has_value());
    BOOST_TEST(!process.grants_.limit_of(warm).has_value());
}

// Guards against limits of one kind that apply where only the other is set.
BOOST_AUTO_TEST_CASE(a_kind_that_the_platform_does_not_limit_has_no_limit)
{
    grants_in_process accounts("{account_window_s: 5}");
    grants_in_process cold("{cold_overrun: 1.5}");
    const limit_key school{limit_kind::account, "school"};
    const limit_key target{limit_kind::cold_target, "stock-1"};
    BOOST_TEST(accounts.grants_.limit_of(school).has_value());
    BOOST_TEST(!accounts.grants_.limit_of(target).has_value());
    BOOST_TEST(!cold.grants_.limit_of(school).has_value());
    BOOST_TEST(cold.grants_.limit_of(target).has_value());
}

// Guards against metrics of a grantor on VMs that are none.
BOOST_AUTO_TEST_CASE(state_tells_whether_the_vm_is_a_grantor)
{
    grants_in_process process(both_limits);
    BOOST_REQUIRE(process.grants_.state().has_value());
    BOOST_TEST(process.grants_.state()->grantors_.size() == 2U);
    BOOST_TEST(process.grants_.state()->server_.has_value());
    BOOST_TEST(process.grants_.client_options().vm_name_ == "a-1");
    BOOST_TEST((process.grants_.client_options().grantors_ ==
                process.grants_.state()->grantors_));
    grants_in_process without("{}");
    BOOST_TEST(without.grants_.start().ok());
    BOOST_TEST(!without.grants_.state().has_value());
    BOOST_TEST(without.grants_.client_options().grantors_.empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace anvilturn
