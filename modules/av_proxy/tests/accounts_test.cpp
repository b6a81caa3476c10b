// Calls of client accounts: which are refused, and what targets learn.

#include "relay_fixture.hpp"

#include <algorithm>

namespace anvilturn::test
{
namespace
{

account_spec account(const std::string& name,
                     const std::vector<std::string>& keys)
{
    account_spec value;
    value.name_ = name;
    value.keys_ = keys;
    return value;
}

void set_accounts(release& value, const std::vector<account_spec>& accounts)
{
    value.accounts_.clear();
    for (const auto& one : accounts)
    {
        value.accounts_[one.name_] = one;
    }
}

// Returns a release with two accounts and a public rule.
release release_with_accounts(const std::vector<std::string>& addresses,
                              const std::string& policy = "least_load")
{
    auto value = make_release(addresses, policy);
    set_accounts(
        value,
        {account("borneo", {"tb1"}), account("lestari", {"ta1", "ta2"})});
    auto open = value.rules_["look-ups"];
    open.name_ = "open";
    open.path_prefix_ = "/kits/open";
    open.public_ = true;
    value.rules_["open"] = open;
    return value;
}

std::string request(const std::string& path, const std::string& fields)
{
    return "GET " + path + " HTTP/1.1\r\nHost: kits.example\r\n" + fields +
           "\r\n";
}

std::string key_field(const std::string& key)
{
    return "Anvilturn-Api-Key: " + key + "\r\n";
}

// Returns the status line of a response that the VM made, without the rest.
std::string read_refusal(test_connection& caller)
{
    const std::string field = "Content-Length: ";
    const auto header = caller.read_header();
    const auto at = header.find(field);
    BOOST_TEST_REQUIRE(at != std::string::npos);
    caller.read_bytes(std::stoul(header.substr(at + field.size())));
    return header.substr(0, header.find("\r\n")) + " " + outcome_of(header);
}

const std::string unauthorized =
    "HTTP/1.1 401 Unauthorized not-run api_key_unknown";

// Sends the request and expects that the target gets it. Returns its header at
// the target.
std::string
header_at_target(relay& vm, scripted_target& target, const std::string& text)
{
    auto caller = vm.call();
    caller.send(text);
    auto connection = target.accept();
    auto header = connection.read_header();
    connection.send(ok("done", "Connection: close\r\n"));
    BOOST_TEST(outcome_of(caller.read_header()) == "answered");
    connection.close();
    return header;
}

} // namespace

BOOST_AUTO_TEST_SUITE(accounts)

// Guards against calls that run without a valid key, or with an ambiguous one.
BOOST_AUTO_TEST_CASE(calls_without_one_known_key_get_401)
{
    scripted_target target;
    relay vm(release_with_accounts({target.address()}));
    auto caller = vm.call();
    for (const auto& fields : {std::string(),
                               key_field(""),
                               key_field("ta3"),
                               key_field("TA1"),
                               key_field("ta1, ta1"),
                               key_field("ta1") + key_field("ta1"),
                               key_field("ta1") + key_field(""),
                               std::string("Anvilturn-Account: lestari\r\n")})
    {
        BOOST_TEST_CONTEXT(fields)
        {
            caller.send(request("/kits", fields));
            BOOST_TEST(read_refusal(caller) == unauthorized);
        }
    }
    BOOST_TEST(!target.has_pending_connection());
}

// The key decides, not the targets: a caller with a revoked key must not learn
// that there is no room, and wait for it.
BOOST_AUTO_TEST_CASE(unknown_keys_get_401_without_any_target)
{
    relay vm(release_with_accounts({}));
    auto caller = vm.call();
    caller.send(request("/kits", key_field("ta3")));
    BOOST_TEST(read_refusal(caller) == unauthorized);
    vm.path().set_ready(false);
    caller.send(request("/kits", key_field("ta3")));
    BOOST_TEST(read_refusal(caller) == unauthorized);
}

// A caller would drop a valid key.
BOOST_AUTO_TEST_CASE(a_vm_without_configuration_never_responds_401)
{
    relay vm{release()};
    vm.path().set_ready(false);
    auto caller = vm.call();
    caller.send(
        request("/kits", key_field("ta3") + "Anvilturn-Deadline-Ms: 30\r\n"));
    BOOST_TEST(read_refusal(caller) ==
               "HTTP/1.1 503 Service Unavailable not-run vm_not_ready");
}

// Guards against a key, or an account that the caller made up, that reaches a
// target.
BOOST_AUTO_TEST_CASE(targets_learn_the_account_and_not_the_key)
{
    scripted_target target;
    relay vm(release_with_accounts({target.address()}));
    for (const std::string path : {"/kits", "/kits/open/4"})
    {
        const auto header = header_at_target(
            vm,
            target,
            request(path, key_field("ta2") + "anvilturn-account: borneo\r\n"));
        BOOST_TEST(contains(header, "\r\nAnvilturn-Account: lestari\r\n"));
        BOOST_TEST(!contains(header, "borneo"));
        BOOST_TEST(!contains(header, "ta2"));
    }
}

// Guards against callers without a known key that are refused on a public rule,
// and against a forged account that reaches a target there.
BOOST_AUTO_TEST_CASE(public_rules_need_no_key)
{
    scripted_target target;
    relay vm(release_with_accounts({target.address()}));
    for (const auto& fields : {std::string(),
                               key_field("ta3"),
                               key_field("ta1") + key_field("ta1"),
                               std::string("Anvilturn-Account: lestari\r\n"),
                               std::string("Connection: Anvilturn-Account\r\n"
                                           "Anvilturn-Account: lestari\r\n")})
    {
        BOOST_TEST_CONTEXT(fields)
        {
            const auto header =
                header_at_target(vm, target, request("/kits/open/4", fields));
            BOOST_TEST(!contains(header, "Anvilturn-Account"));
            BOOST_TEST(!contains(header, "lestari"));
            BOOST_TEST(!contains(header, "ta1"));
        }
    }
}

// Guards against deployments without accounts that refuse calls.
BOOST_AUTO_TEST_CASE(a_release_without_accounts_needs_no_key)
{
    scripted_target target;
    relay vm(make_release({target.address()}));
    const auto header = header_at_target(
        vm,
        target,
        request("/kits", key_field("ta1") + "Anvilturn-Account: lestari\r\n"));
    BOOST_TEST(!contains(header, "lestari"));
    BOOST_TEST(!contains(header, "ta1"));
}

// Each request on a connection that stays open is checked by the release in
// force when it begins, not by that of its connection.
BOOST_AUTO_TEST_CASE(a_revoked_key_is_refused_on_a_kept_connection)
{
    scripted_target target;
    auto value = release_with_accounts({target.address()});
    relay vm(value);
    auto caller = vm.call();
    caller.send(request("/kits", key_field("ta1")));
    auto connection = target.accept();
    connection.read_header();
    connection.send(ok("done"));
    BOOST_TEST(outcome_of(caller.read_header()) == "answered");
    caller.read_bytes(4);
    ++value.version_;
    set_accounts(value, {account("lestari", {"ta2"})});
    vm.path().publish(value);
    caller.send(request("/kits", key_field("ta1")));
    BOOST_TEST(read_refusal(caller) == unauthorized);
    caller.send(request("/kits", key_field("tb1")));
    BOOST_TEST(read_refusal(caller) == unauthorized);
    caller.send(request("/kits", key_field("ta2")));
    BOOST_TEST(contains(connection.read_header(), "lestari"));
}

// A request that was read behind another one, which runs, begins only when that
// one has ended.
BOOST_AUTO_TEST_CASE(a_revoked_key_is_refused_in_a_pipelined_request)
{
    scripted_target target;
    auto value = release_with_accounts({target.address()});
    relay vm(value);
    auto caller = vm.call();
    caller.send(request("/kits", key_field("ta1")) +
                request("/kits", key_field("ta1")) +
                request("/kits", key_field("ta2")));
    auto connection = target.accept();
    connection.read_header();
    ++value.version_;
    set_accounts(value, {account("lestari", {"ta2"})});
    vm.path().publish(value);
    connection.send(ok("done"));
    BOOST_TEST(outcome_of(caller.read_header()) == "answered");
    caller.read_bytes(4);
    BOOST_TEST(read_refusal(caller) == unauthorized);
    connection.read_header();
    connection.send(ok("last"));
    BOOST_TEST(outcome_of(caller.read_header()) == "answered");
    BOOST_TEST(caller.read_bytes(4) == "last");
}

// The call has its account as long as it runs, though the release that listed
// it is gone: its end is counted for the account.
BOOST_AUTO_TEST_CASE(a_call_outlives_the_release_of_its_account)
{
    scripted_target target;
    auto value = release_with_accounts({target.address()});
    relay vm(value);
    auto caller = vm.call();
    caller.send(request("/kits", key_field("ta1")));
    auto connection = target.accept();
    connection.read_header();
    for (int i = 0; i < 3; ++i)
    {
        ++value.version_;
        set_accounts(value, {account("borneo", {"tb1"})});
        vm.path().publish(value);
        auto other = vm.call();
        other.send(request("/kits", key_field("ta1")));
        BOOST_TEST(read_refusal(other) == unauthorized);
    }
    connection.send(ok("done"));
    BOOST_TEST(outcome_of(caller.read_header()) == "answered");
}

// A low class must not be served before a higher one, whatever the rule says.
BOOST_AUTO_TEST_CASE(the_class_of_the_account_overrides_that_of_the_rule)
{
    scripted_target target;
    auto value = release_with_accounts({target.address()});
    value.targets_.begin()->second.slots_ = 1;
    value.accounts_["borneo"].class_ = traffic_class::bulk;
    value.accounts_["lestari"].class_ = traffic_class::transactional;
    relay vm(value);
    auto first = vm.call();
    first.send(request("/kits/first", key_field("ta1")));
    auto connection = target.accept();
    connection.read_header();
    auto low = vm.call();
    low.send(request("/kits/low", key_field("tb1")));
    wait_until(
        [&]
        {
            return vm.path().statistics().services_.front().waiting_ == 1;
        });
    auto high = vm.call();
    high.send(request("/kits/high", key_field("ta1")));
    wait_until(
        [&]
        {
            return vm.path().statistics().services_.front().waiting_ == 2;
        });
    connection.send(ok("done"));
    BOOST_TEST(contains(connection.read_header(), "GET /kits/high "));
    connection.send(ok("done"));
    BOOST_TEST(contains(connection.read_header(), "GET /kits/low "));
}

// Guards against a caller, or a VM of another deployment, that calls on behalf
// of any account.
BOOST_AUTO_TEST_CASE(only_a_vm_of_the_deployment_may_set_the_account)
{
    scripted_target target;
    relay vm(release_with_accounts({target.address()}));
    const auto forwarded =
        [](const std::string& deployment, const std::string& fields)
    {
        return request("/kits",
                       "Anvilturn-Forwarded: 1\r\nAnvilturn-Deployment: " +
                           deployment + "\r\n" + fields);
    };
    auto other_vm = vm.connect_as_vm();
    other_vm.send(forwarded("other", "Anvilturn-Account: lestari\r\n"));
    BOOST_TEST(contains(read_refusal(other_vm), "503 "));
    // The other VM serves the call itself.
    other_vm.send(forwarded("hanoi", "Anvilturn-Account: gone\r\n"));
    BOOST_TEST(contains(read_refusal(other_vm), "not-run vm_not_ready"));
    other_vm.send(forwarded("hanoi", key_field("ta1")));
    BOOST_TEST(contains(read_refusal(other_vm), "not-run vm_not_ready"));
    // A caller can't pretend to be a VM.
    auto caller = vm.call();
    caller.send(forwarded("hanoi", "Anvilturn-Account: lestari\r\n"));
    BOOST_TEST(read_refusal(caller) == unauthorized);
    BOOST_TEST(!target.has_pending_connection());
    other_vm.send(forwarded("hanoi", "Anvilturn-Account: lestari\r\n"));
    auto connection = target.accept();
    BOOST_TEST(contains(connection.read_header(),
                        "\r\nAnvilturn-Account: lestari\r\n"));
}

// Guards against calls that are counted for no account, or for another one.
BOOST_AUTO_TEST_CASE(calls_are_counted_by_account)
{
    scripted_target target;
    relay vm(release_with_accounts({target.address()}));
    header_at_target(vm, target, request("/kits", key_field("ta1")));
    header_at_target(vm, target, request("/kits", key_field("ta2")));
    auto caller = vm.call();
    caller.send(request("/kits", key_field("ta3")));
    BOOST_TEST(read_refusal(caller) == unauthorized);
    const auto statistics = vm.path().statistics();
    BOOST_TEST_REQUIRE(statistics.accounts_.size() == 2U);
    BOOST_TEST(statistics.accounts_[0].account_ == "borneo");
    BOOST_TEST(statistics.accounts_[0].answered_ == 0U);
    BOOST_TEST(statistics.accounts_[1].account_ == "lestari");
    BOOST_TEST(statistics.accounts_[1].answered_ == 2U);
    BOOST_TEST(statistics.reasons_.at(error_kind::api_key_unknown) == 1U);
}

// Each name makes further series of metrics, also over many releases.
BOOST_AUTO_TEST_CASE(counted_names_are_bounded)
{
    const auto accounts_from = [](int first, int count)
    {
        std::map<std::string, account_spec> result;
        for (int i = first; i < first + count; ++i)
        {
            const auto name = "account-" + std::to_string(1000 + i);
            result[name] = account(name, {"key-" + std::to_string(i)});
        }
        return result;
    };
    const release_accounts all(accounts_from(0, 300), nullptr);
    const auto& kept = *all.table_.find_by_key("key-99");
    const auto& others = *all.table_.find_by_key("key-100");
    all.counters_of(kept).calls_[0].fetch_add(3);
    all.counters_of(others).calls_[0].fetch_add(5);
    const auto statistics = account_statistics_of(all);
    BOOST_TEST_REQUIRE(statistics.size() == max_counted_accounts + 1);
    BOOST_TEST(statistics[99].account_ == kept.name_);
    BOOST_TEST(statistics[99].answered_ == 3U);
    BOOST_TEST(statistics[100].account_.empty());
    BOOST_TEST(statistics[100].answered_ == 5U);
    // Accounts that were counted by name still are, with their counts.
    const release_accounts later(accounts_from(50, 300), &all);
    const auto later_statistics = account_statistics_of(later);
    BOOST_TEST(later_statistics.size() == max_counted_accounts + 1);
    BOOST_TEST(later.counters_of(*later.table_.find_by_key("key-99"))
                   .calls_[0]
                   .load() == 3U);
    BOOST_TEST(later_statistics.back().account_.empty());
    BOOST_TEST(later_statistics.back().answered_ == 5U);
    const release_accounts few(accounts_from(60, 2), &later);
    BOOST_TEST(account_statistics_of(few).size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace anvilturn::test
