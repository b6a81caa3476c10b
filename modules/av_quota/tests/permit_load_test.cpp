#include "permit_fleet.hpp"

#include <boost/test/unit_test.hpp>

#include <cmath>
#include <random>

using namespace anvilturn;

namespace
{

constexpr std::size_t account_count = 79;
constexpr double largest_per_second = 280.0;
constexpr double all_per_second = 840.0;
constexpr double usual_share_of_quota = 0.62;
constexpr milliseconds load_time(30'000.0);

struct account_load
{
    std::string name_;
    double per_second_ = 0.0;
};

limit_bounds platform_bounds()
{
    limit_bounds bounds;
    bounds.account_window_ = milliseconds(5000.0);
    bounds.account_overrun_ = 0.1;
    bounds.account_slack_ = 20.0;
    return bounds;
}

// The largest account has a third of the calls; each of the others has a fixed
// fraction of those of the one before it.
std::vector<account_load> uneven_accounts(std::size_t count)
{
    constexpr double ratio = 0.9;
    const double rest = all_per_second - largest_per_second;
    double sum = 0.0;
    for (std::size_t i = 1; i < count; ++i)
    {
        sum += std::pow(ratio, static_cast<double>(i));
    }
    std::vector<account_load> accounts{{"account-0", largest_per_second}};
    for (std::size_t i = 1; i < count; ++i)
    {
        accounts.push_back(
            {"account-" + std::to_string(i),
             rest * std::pow(ratio, static_cast<double>(i)) / sum});
    }
    return accounts;
}

// The burst is what the account sends in one second, at least ten calls.
std::map<std::string, fleet_limit>
limits_of(const std::vector<account_load>& accounts)
{
    std::map<std::string, fleet_limit> limits;
    for (const auto& load : accounts)
    {
        account_spec account;
        account.rate_per_second_ = load.per_second_ / usual_share_of_quota;
        account.burst_ = std::max(10.0, account.rate_per_second_);
        limits[load.name_] = *account_limit(account, platform_bounds());
    }
    return limits;
}

// Returns the VM that a call comes in at.
using vm_choice = std::function<std::size_t(std::mt19937_64&)>;

vm_choice any_vm(const permit_fleet& fleet)
{
    const auto count = fleet.vm_count();
    return [count](std::mt19937_64& random)
    {
        return random() % count;
    };
}

// Calls of the account with exponentially distributed times between them, from
// one point in time to another.
void add_calls(permit_fleet& fleet,
               const account_load& load,
               const vm_choice& choose_vm,
               milliseconds from,
               milliseconds until,
               std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::exponential_distribution<double> gap(load.per_second_ / 1000.0);
    for (double at = from.count() + gap(random); at < until.count();
         at += gap(random))
    {
        const auto vm = choose_vm(random);
        fleet.clock_.run_at(milliseconds(at),
                            [&fleet, vm, name = load.name_]
                            {
                                fleet.call(vm, name);
                            });
    }
}

void add_usual_calls(permit_fleet& fleet,
                     const std::vector<account_load>& accounts,
                     milliseconds until)
{
    std::uint64_t seed = 1;
    for (const auto& load : accounts)
    {
        add_calls(fleet, load, any_vm(fleet), milliseconds(0.0), until, ++seed);
    }
}

// Calls that arrive last get their answer.
void run(permit_fleet& fleet, milliseconds until)
{
    fleet.clock_.run_until(until + milliseconds(1000.0));
}

std::size_t refused(const permit_fleet& fleet)
{
    std::size_t count = 0;
    for (const auto& record : fleet.records_)
    {
        count += record.second.refused_;
    }
    return count;
}

std::size_t above_limit(const permit_fleet& fleet)
{
    std::size_t count = 0;
    for (const auto& record : fleet.records_)
    {
        count += record.second.above_limit_;
    }
    return count;
}

std::size_t calls(const permit_fleet& fleet)
{
    std::size_t count = 0;
    for (const auto& record : fleet.records_)
    {
        count += record.second.calls();
    }
    return count;
}

void check_bounds(const permit_fleet& fleet,
                  const std::map<std::string, fleet_limit>& limits)
{
    for (const auto& record : fleet.records_)
    {
        const auto& limit = limits.at(record.first);
        const auto most =
            most_in_window(record.second.sent_at_ms_, limit.window_);
        BOOST_TEST(static_cast<double>(most) <= limit.max_per_window_);
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(permit_load)

// Guards against a split of quotas that refuses calls although the account is
// far below its quota, since few calls reach each VM.
BOOST_AUTO_TEST_CASE(accounts_below_their_quotas_are_not_refused)
{
    const auto accounts = uneven_accounts(account_count);
    const auto limits = limits_of(accounts);
    for (const std::size_t vm_count : {24U, 190U})
    {
        permit_fleet fleet(vm_count, limits);
        add_usual_calls(fleet, accounts, load_time);
        run(fleet, load_time);
        BOOST_TEST_MESSAGE(vm_count << " VMs: refused " << refused(fleet)
                                    << " of " << calls(fleet) << ", one bucket "
                                    << above_limit(fleet));
        BOOST_TEST(refused(fleet) == 0U);
        check_bounds(fleet, limits);
    }
}

// Guards against shares that can't follow the demand to one VM.
BOOST_AUTO_TEST_CASE(all_callers_of_an_account_may_use_one_vm)
{
    const auto accounts = uneven_accounts(account_count);
    const auto limits = limits_of(accounts);
    for (const std::size_t vm_count : {24U, 190U})
    {
        permit_fleet fleet(vm_count, limits);
        std::uint64_t seed = 1;
        for (std::size_t i = 0; i < accounts.size(); ++i)
        {
            add_calls(
                fleet,
                accounts[i],
                [i, vm_count](std::mt19937_64&)
                {
                    return i % vm_count;
                },
                milliseconds(0.0),
                load_time,
                ++seed);
        }
        run(fleet, load_time);
        BOOST_TEST_MESSAGE(vm_count << " VMs: refused " << refused(fleet)
                                    << " of " << calls(fleet));
        BOOST_TEST(refused(fleet) * 200 <= calls(fleet));
        check_bounds(fleet, limits);
    }
}

// Guards against shares that follow the demand too slowly: the permits of the
// failure domain that lost it are wasted until they expire.
BOOST_AUTO_TEST_CASE(demand_may_jump_to_another_failure_domain)
{
    const auto accounts = uneven_accounts(account_count);
    const auto limits = limits_of(accounts);
    for (const std::size_t vm_count : {24U, 190U})
    {
        permit_fleet fleet(vm_count, limits);
        const milliseconds step(3000.0);
        std::uint64_t seed = 1;
        for (const auto& load : accounts)
        {
            for (std::size_t part = 0; part < 10; ++part)
            {
                const auto domain = part % 3;
                const auto size = vm_count / 3;
                add_calls(
                    fleet,
                    load,
                    [domain, size](std::mt19937_64& random)
                    {
                        return domain * size + random() % size;
                    },
                    step * static_cast<double>(part),
                    step * static_cast<double>(part + 1),
                    ++seed);
            }
        }
        run(fleet, load_time);
        BOOST_TEST_MESSAGE(vm_count << " VMs: refused " << refused(fleet)
                                    << " of " << calls(fleet));
        BOOST_TEST(refused(fleet) * 200 <= calls(fleet));
        check_bounds(fleet, limits);
    }
}

// Guards against an account that takes the capacity of others, and against one
// that gets much less than its quota once it exceeds it.
BOOST_AUTO_TEST_CASE(an_account_above_its_quota_is_held_to_it)
{
    constexpr double overload = 7.5;
    auto accounts = uneven_accounts(account_count);
    const auto limits = limits_of(accounts);
    for (const std::size_t index : {0U, 1U, 20U})
    {
        auto loads = accounts;
        loads[index].per_second_ *= overload;
        const auto& name = loads[index].name_;
        permit_fleet fleet(24, limits);
        add_usual_calls(fleet, loads, load_time);
        run(fleet, load_time);
        const auto& record = fleet.records_.at(name);
        const auto& limit = limits.at(name);
        const double entitled =
            limit.rate_per_second_ * load_time.count() / 1000.0;
        const auto sent = static_cast<double>(record.sent_at_ms_.size());
        BOOST_TEST_MESSAGE(
            name << " at 7.5 times its usual: sent " << sent << " of "
                 << record.calls() << ", quota " << entitled << ", most in a "
                 << "window "
                 << most_in_window(record.sent_at_ms_, limit.window_) << " of "
                 << limit.max_per_window_ << "; others refused "
                 << refused(fleet) - record.refused_ << "; messages a second "
                 << "and VM "
                 << static_cast<double>(fleet.messages_) / 30.0 / 24.0);
        BOOST_TEST(sent >= 0.9 * entitled);
        BOOST_TEST(refused(fleet) == record.refused_);
        check_bounds(fleet, limits);
    }
}

// Guards against an outage of all accounts, or a broken bound, when one grantor
// is gone.
BOOST_AUTO_TEST_CASE(two_grantors_of_three_serve_most_calls)
{
    const auto accounts = uneven_accounts(account_count);
    const auto limits = limits_of(accounts);
    permit_fleet fleet(190, limits);
    add_usual_calls(fleet, accounts, load_time);
    fleet.clock_.run_until(milliseconds(10'000.0));
    fleet.stop_grantor(1);
    run(fleet, load_time);
    BOOST_TEST_MESSAGE("usual load, one grantor gone: refused "
                       << refused(fleet) << " of " << calls(fleet));
    BOOST_TEST(refused(fleet) * 200 <= calls(fleet));
    check_bounds(fleet, limits);

    auto greedy = accounts;
    greedy[0].per_second_ *= 3.0;
    permit_fleet overloaded(190, limits);
    overloaded.stop_grantor(1);
    add_usual_calls(overloaded, greedy, load_time);
    run(overloaded, load_time);
    const auto& record = overloaded.records_.at(greedy[0].name_);
    const double entitled = limits.at(greedy[0].name_).rate_per_second_ * 30.0;
    const auto sent = static_cast<double>(record.sent_at_ms_.size());
    BOOST_TEST_MESSAGE("three times the usual, one grantor gone: sent "
                       << sent << " of a quota of " << entitled);
    BOOST_TEST(sent >= 0.6 * entitled);
    check_bounds(overloaded, limits);
}

// Guards against a long outage of accounts after a restart: the buckets begin
// empty.
BOOST_AUTO_TEST_CASE(restarted_grantors_serve_again_soon)
{
    const auto accounts = uneven_accounts(account_count);
    const auto limits = limits_of(accounts);
    for (const std::size_t restarted : {1U, 3U})
    {
        permit_fleet fleet(190, limits);
        add_usual_calls(fleet, accounts, load_time);
        fleet.clock_.run_until(milliseconds(10'000.0));
        for (std::size_t index = 0; index < restarted; ++index)
        {
            fleet.restart_grantor(index);
        }
        fleet.clock_.run_until(milliseconds(15'000.0));
        const auto refused_at_first = refused(fleet);
        run(fleet, load_time);
        BOOST_TEST_MESSAGE(restarted << " grantors restarted: refused "
                                     << refused_at_first << " within 5 s, "
                                     << refused(fleet) - refused_at_first
                                     << " in the 15 s after");
        BOOST_TEST(refused(fleet) * 100 <= calls(fleet));
        check_bounds(fleet, limits);
    }
}

// Guards against messages that grow with the number of VMs or accounts.
BOOST_AUTO_TEST_CASE(messages_stay_within_a_kilobyte_a_second)
{
    constexpr std::size_t vm_count = 300;
    const auto accounts = uneven_accounts(100);
    const auto limits = limits_of(accounts);
    permit_fleet fleet(vm_count, limits);
    add_usual_calls(fleet, accounts, load_time);
    run(fleet, load_time);
    const double vm_seconds = 30.0 * vm_count;
    const double messages = static_cast<double>(fleet.messages_) / vm_seconds;
    const double bytes = static_cast<double>(fleet.bytes_) / vm_seconds;
    BOOST_TEST_MESSAGE("300 VMs, 100 accounts: "
                       << messages << " messages and " << bytes
                       << " bytes a second and VM; "
                       << "refused " << refused(fleet));
    BOOST_TEST(bytes <= 1000.0);
    BOOST_TEST(refused(fleet) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
