#include <av_accounts/av_accounts.hpp>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <map>
#include <string>

namespace anvilturn
{
namespace
{

using account_map = std::map<std::string, account_spec>;

void add(account_map& accounts,
         const std::string& name,
         const std::vector<std::string>& keys)
{
    auto& account = accounts[name];
    account.name_ = name;
    account.keys_ = keys;
}

} // namespace

BOOST_AUTO_TEST_SUITE(account_tables)

// Guards against valid keys that are refused while a key is replaced.
BOOST_AUTO_TEST_CASE(an_account_is_found_by_each_of_its_keys)
{
    account_map accounts;
    add(accounts, "lestari", {"ta1", "ta2"});
    add(accounts, "borneo", {"tb1"});
    const account_table table(accounts);
    BOOST_TEST_REQUIRE(table.find_by_key("ta2") != nullptr);
    BOOST_TEST(table.find_by_key("ta1")->name_ == "lestari");
    BOOST_TEST(table.find_by_key("ta2")->name_ == "lestari");
    BOOST_TEST(table.find_by_key("tb1")->name_ == "borneo");
}

// A key must match as a whole: neither a part of one, nor one in another
// letter case, nor two keys in one field identify an account.
BOOST_AUTO_TEST_CASE(other_keys_find_nothing)
{
    account_map accounts;
    add(accounts, "lestari", {"ta1", ""});
    const account_table table(accounts);
    for (const std::string key : {"", "ta", "ta11", "TA1", " ta1", "ta1, ta1"})
    {
        BOOST_TEST((table.find_by_key(key) == nullptr), key);
    }
    BOOST_TEST(account_table().empty());
    BOOST_TEST((account_table().find_by_key("ta1") == nullptr));
}

// Guards against calls that another VM forwards and that lose their account.
BOOST_AUTO_TEST_CASE(accounts_are_found_by_name)
{
    account_map accounts;
    add(accounts, "lestari", {"ta1"});
    add(accounts, "borneo", {});
    const account_table table(accounts);
    BOOST_TEST_REQUIRE(table.find_by_name("borneo") != nullptr);
    BOOST_TEST(table.index_of(*table.find_by_name("borneo")) == 0U);
    BOOST_TEST(table.index_of(*table.find_by_name("lestari")) == 1U);
    BOOST_TEST((table.find_by_name("ta1") == nullptr));
    BOOST_TEST((table.find_by_name("") == nullptr));
}

// Else one account's calls would be charged to the other.
BOOST_AUTO_TEST_CASE(a_common_key_is_a_clash)
{
    account_map accounts;
    add(accounts, "lestari", {"ta1", "ta1"});
    add(accounts, "borneo", {"tb1"});
    BOOST_TEST((find_key_clash(accounts).first_ == nullptr));
    add(accounts, "mekong", {"tm1", "tb1"});
    const auto clash = find_key_clash(accounts);
    BOOST_TEST_REQUIRE(clash.first_ != nullptr);
    BOOST_TEST(clash.first_->name_ == "borneo");
    BOOST_TEST(clash.second_->name_ == "mekong");
}

// A table agrees with a search through all accounts.
RC_BOOST_PROP(look_ups_agree_with_a_search, ())
{
    account_map accounts;
    const auto count = *rc::gen::inRange(0, 40);
    for (int i = 0; i < count; ++i)
    {
        const auto name = "account-" + std::to_string(i);
        add(accounts,
            name,
            *rc::gen::container<std::vector<std::string>>(rc::gen::map(
                rc::gen::inRange(0, 400),
                [i](int n)
                {
                    return std::to_string(i) + "-" + std::to_string(n);
                })));
    }
    const account_table table(accounts);
    for (int i = 0; i < 40; ++i)
    {
        const auto key =
            std::to_string(i) + "-" + std::to_string(*rc::gen::inRange(0, 400));
        const account_spec* expected = nullptr;
        for (const auto& entry : accounts)
        {
            for (const auto& known : entry.second.keys_)
            {
                expected = known == key ? &entry.second : expected;
            }
        }
        const auto* const found = table.find_by_key(key);
        RC_ASSERT((found == nullptr) == (expected == nullptr));
        if (found != nullptr)
        {
            RC_ASSERT(found->name_ == expected->name_);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace anvilturn
