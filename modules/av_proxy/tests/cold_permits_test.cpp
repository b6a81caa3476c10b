// Calls to targets that are cold, for which a limit holds for all VMs together.

#include "permits_fixture.hpp"

namespace anvilturn::test
{
namespace
{

constexpr milliseconds far_future(60000.0);

std::string load_report(const std::string& cold_for)
{
    return "Anvilturn-Load: busy=0, queued=0, slots=6\r\n"
           "Anvilturn-Cold-Ms: " +
           cold_for + "\r\n";
}

counting_target target_cold_for(const std::string& cold_for)
{
    return counting_target(
        [cold_for]
        {
            return load_report(cold_for);
        });
}

// Returns a release whose targets are asked for their load before each call.
release release_with_cold_rate(const std::vector<std::string>& addresses)
{
    auto value = make_release(addresses, "ask_first");
    auto& service = value.services_["kits"];
    service.health_path_ = "/healthz";
    service.cold_rate_per_second_ = 4.5;
    return value;
}

// Grants the first permit for a cold target a second after its start. Permits
// of accounts are granted at once; after the first, the grantor may no longer
// know the limit.
class late_cold_grantor
{
public:
    explicit late_cold_grantor(bool only_first)
        : grantor_(
              [this,
               only_first](const limit_key& key) -> std::optional<fleet_limit>
              {
                  if (key.kind_ == limit_kind::cold_target)
                  {
                      return fleet_limit{
                          1.0, 0.0, milliseconds(1000.0), 10.0, lease};
                  }
                  const bool is_first = account_queries_++ == 0;
                  if (is_first || !only_first)
                  {
                      return ample_limit();
                  }
                  return std::nullopt;
              })
    {
        // A grantor begins without permits.
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }

    const std::string& address() const
    {
        return grantor_.address();
    }

    int account_queries() const
    {
        return account_queries_;
    }

private:
    std::atomic<int> account_queries_{0};
    test_grantor grantor_;
};

release release_with_quota_and_cold_rate(const std::string& address)
{
    auto value = release_with_cold_rate({address});
    auto& account = value.accounts_["lestari"];
    account.name_ = "lestari";
    account.keys_ = {"ta1"};
    account.rate_per_second_ = 10.0;
    return value;
}

} // namespace

BOOST_AUTO_TEST_SUITE(cold_permits)

// Guards against a burst that overloads a target that has just started.
BOOST_AUTO_TEST_CASE(a_cold_target_gets_a_call_only_with_a_permit)
{
    test_grantor grantor(always(no_permits()));
    auto target = target_cold_for("60000");
    relay vm(release_with_cold_rate({target.address()}),
             settings_with_grantors({grantor.address()}));
    for (int i = 0; i < 3; ++i)
    {
        const auto result = call_once(
            vm, request("/kits", "", "Anvilturn-Deadline-Ms: 200\r\n"));
        BOOST_TEST(contains(result, "503 not-run "));
    }
    BOOST_TEST(target.load_queries() > 0);
    BOOST_TEST(target.calls() == 0);
    BOOST_TEST(grantor.statistics().refused_ > 0U);
    grantor.set_limits(always(ample_limit()));
    BOOST_TEST(call_once(vm, request("/kits")) == served);
    BOOST_TEST(target.calls() == 1);
    BOOST_TEST(grantor.statistics().permits_ >= 1U);
}

// A VM that reaches no grantor must not send to a cold target either.
BOOST_AUTO_TEST_CASE(a_cold_target_gets_no_call_without_a_grantor)
{
    scripted_target silent;
    auto target = target_cold_for("60000");
    relay vm(release_with_cold_rate({target.address()}),
             settings_with_grantors({silent.address()}));
    const auto result =
        call_once(vm, request("/kits", "", "Anvilturn-Deadline-Ms: 500\r\n"));
    BOOST_TEST(contains(result, "503 not-run "));
    BOOST_TEST(target.calls() == 0);
}

// Permits of cold targets are few; a warm target with room needs none.
BOOST_AUTO_TEST_CASE(a_warm_target_is_preferred_to_a_cold_one)
{
    test_grantor grantor(always(ample_limit()));
    auto cold = target_cold_for("60000");
    auto warm = target_cold_for("0");
    auto value = release_with_cold_rate({cold.address(), warm.address()});
    value.targets_["kits-1"].cold_for_ = far_future;
    relay vm(value, settings_with_grantors({grantor.address()}));
    for (int i = 0; i < 20; ++i)
    {
        BOOST_TEST(call_once(vm, request("/kits", "")) == served);
    }
    BOOST_TEST(warm.calls() == 20);
    BOOST_TEST(cold.calls() == 0);
    BOOST_TEST(grantor.statistics().queries_ == 0U);
}

// The health response is newer than the entry, which would keep a target that
// has become warm from its share of the calls.
BOOST_AUTO_TEST_CASE(a_target_that_says_that_it_is_warm_needs_no_permit)
{
    test_grantor grantor(always(no_permits()));
    auto target = target_cold_for("0");
    auto value = release_with_cold_rate({target.address()});
    value.targets_["kits-1"].cold_for_ = far_future;
    relay vm(value, settings_with_grantors({grantor.address()}));
    for (int i = 0; i < 3; ++i)
    {
        BOOST_TEST(call_once(vm, request("/kits", "")) == served);
    }
    BOOST_TEST(target.calls() == 3);
}

// Guards against runs beyond the quota by calls that waited for a target. The
// permit of the account expires while that of the target is awaited.
BOOST_AUTO_TEST_CASE(a_permit_that_expired_before_the_request_is_not_used)
{
    late_cold_grantor grantor(true);
    auto target = target_cold_for("60000");
    relay vm(release_with_quota_and_cold_rate(target.address()),
             settings_with_grantors({grantor.address()}));
    BOOST_TEST(call_once(vm, request("/kits")) == "503 not-run quota_unknown");
    BOOST_TEST(grantor.account_queries() == 2);
    BOOST_TEST(target.calls() == 0);
}

// Nor must a call be refused because it waited, if the quota has room.
BOOST_AUTO_TEST_CASE(a_call_whose_permit_expired_requests_another)
{
    late_cold_grantor grantor(false);
    auto target = target_cold_for("60000");
    relay vm(release_with_quota_and_cold_rate(target.address()),
             settings_with_grantors({grantor.address()}));
    BOOST_TEST(call_once(vm, request("/kits")) == served);
    BOOST_TEST(grantor.account_queries() == 2);
    BOOST_TEST(target.calls() == 1);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace anvilturn::test
