// Calls that need a permit because of a limit that holds for all VMs together.

#include "permits_fixture.hpp"

namespace anvilturn::test
{
namespace
{

// Grants two permits, half a second after the grantor's start, and no more
// while a test runs. A grantor's burst is one permit more than its part.
fleet_limit two_permits()
{
    return {0.001, 1.0, milliseconds(100.0), 2.1, lease};
}

// The same with one permit.
fleet_limit one_permit()
{
    return {0.001, 0.0, milliseconds(100.0), 1.1, lease};
}

void wait_until_bucket_is_full()
{
    std::this_thread::sleep_for(std::chrono::milliseconds(600));
}

account_spec
account(const std::string& name, const std::string& key, double rate_per_second)
{
    account_spec value;
    value.name_ = name;
    value.keys_ = {key};
    value.rate_per_second_ = rate_per_second;
    return value;
}

// Returns a release with an account that has a quota and one that has none.
release release_with_quota(const std::vector<std::string>& addresses)
{
    auto value = make_release(addresses);
    // A call may be sent again at once.
    value.services_["kits"].retry_ratio_ = 1.0;
    value.accounts_["lestari"] = account("lestari", "ta1", 10.0);
    value.accounts_["borneo"] = account("borneo", "tb1", 0.0);
    return value;
}

counting_target target_without_load()
{
    return counting_target(
        []
        {
            return std::string();
        });
}

const std::string over_quota = "429 not-run quota_exceeded";
const std::string without_grantor = "503 not-run quota_unknown";

} // namespace

BOOST_AUTO_TEST_SUITE(permits)

// Guards against calls beyond the quota, and against refusals within it.
BOOST_AUTO_TEST_CASE(calls_within_the_quota_are_served_and_others_get_429)
{
    test_grantor grantor(always(two_permits()));
    auto target = target_without_load();
    relay vm(release_with_quota({target.address()}),
             settings_with_grantors({grantor.address()}));
    wait_until_bucket_is_full();
    for (int i = 0; i < 2; ++i)
    {
        BOOST_TEST(call_once(vm, request("/kits")) == served);
    }
    auto caller = vm.call();
    caller.send(request("/kits"));
    const auto header = caller.read_header();
    BOOST_TEST(contains(header, "HTTP/1.1 429 "));
    BOOST_TEST(outcome_of(header) == "not-run quota_exceeded");
    BOOST_TEST(!field_of(header, "Retry-After").empty());
    BOOST_TEST(target.calls() == 2);
    BOOST_TEST(grantor.statistics().permits_ == 2U);
}

// A caller that returns too soon is refused again, and adds load.
BOOST_AUTO_TEST_CASE(a_refused_call_is_served_after_its_retry_after)
{
    // Two calls per second, without any burst.
    test_grantor grantor(
        always(fleet_limit{2.0, 0.0, milliseconds(100.0), 4.0, lease}));
    auto target = target_without_load();
    relay vm(release_with_quota({target.address()}),
             settings_with_grantors({grantor.address()}));
    wait_until_bucket_is_full();
    auto caller = vm.call();
    std::string header;
    for (int i = 0; i < 20 && !contains(header, " 429 "); ++i)
    {
        caller.send(request("/kits"));
        header = caller.read_header();
        caller.read_bytes(std::stoul(field_of(header, "Content-Length")));
    }
    BOOST_TEST_REQUIRE(contains(header, "HTTP/1.1 429 "));
    const double retry_after_s = std::stod(field_of(header, "Retry-After"));
    BOOST_TEST(retry_after_s <= 1.0);
    std::this_thread::sleep_for(std::chrono::duration<double>(retry_after_s));
    caller.send(request("/kits"));
    BOOST_TEST(read_result(caller) == served);
}

// Guards against a VM that serves an account without a limit once it has lost
// all grantors, and one that lets callers wait for them.
BOOST_AUTO_TEST_CASE(without_a_grantor_calls_get_503)
{
    auto target = target_without_load();
    scripted_target silent;
    scripted_target closed;
    const auto closed_address = closed.address();
    closed.stop_listening();
    for (const auto& grantors :
         {std::vector<std::string>{closed_address},
          std::vector<std::string>{silent.address()},
          std::vector<std::string>{closed_address, silent.address()}})
    {
        relay vm(release_with_quota({target.address()}),
                 settings_with_grantors(grantors));
        for (int i = 0; i < 3; ++i)
        {
            auto caller = vm.call();
            caller.send(request("/kits"));
            const auto header = caller.read_header();
            BOOST_TEST(contains(header, "HTTP/1.1 503 "));
            BOOST_TEST(outcome_of(header) == "not-run quota_unknown");
            BOOST_TEST(!field_of(header, "Retry-After").empty());
        }
        BOOST_TEST(call_once(vm, request("/kits", "tb1")) == served);
    }
    BOOST_TEST(target.calls() == 3);
}

// A grantor that does not know the account yet, since its configuration is
// older, is no reason to say that the quota is reached.
BOOST_AUTO_TEST_CASE(without_a_grantor_that_knows_the_limit_calls_get_503)
{
    test_grantor grantor(always(std::nullopt));
    auto target = target_without_load();
    relay vm(release_with_quota({target.address()}),
             settings_with_grantors({grantor.address()}));
    BOOST_TEST(call_once(vm, request("/kits")) == without_grantor);
    BOOST_TEST(target.calls() == 0);
}

// Accounts without a quota must not cost messages, nor depend on grantors.
BOOST_AUTO_TEST_CASE(an_account_without_a_limit_asks_nothing)
{
    test_grantor grantor(always(no_permits()));
    auto target = target_without_load();
    relay vm(release_with_quota({target.address()}),
             settings_with_grantors({grantor.address()}));
    for (int i = 0; i < 5; ++i)
    {
        BOOST_TEST(call_once(vm, request("/kits", "tb1")) == served);
    }
    BOOST_TEST(grantor.statistics().queries_ == 0U);
    BOOST_TEST(grantor.statistics().connections_ == 0U);
    BOOST_TEST(call_once(vm, request("/kits")) == over_quota);
    BOOST_TEST(grantor.statistics().queries_ == 1U);
}

// A call to either of two targets, at a grantor that grants no more permits
// than its limit.
struct two_targets
{
    explicit two_targets(const fleet_limit& limit)
        : grantor_(always(limit))
    {
        wait_until_bucket_is_full();
    }

    test_grantor grantor_;
    scripted_target a_;
    scripted_target b_;
    relay vm_{release_with_quota({a_.address(), b_.address()}),
              settings_with_grantors({grantor_.address()})};
    test_connection caller_ = vm_.call();
};

// An attempt that a target refused has not run and does not count.
BOOST_AUTO_TEST_CASE(an_attempt_after_a_refusal_uses_the_same_permit)
{
    two_targets call(one_permit());
    call.caller_.send(request("/kits"));
    auto& refusing = first_connected(call.a_, call.b_);
    auto refused = refusing.accept();
    refused.read_header();
    refused.send("HTTP/1.1 503 Busy\r\nAnvilturn-Not-Run: 1\r\n"
                 "Content-Length: 0\r\n\r\n");
    auto other = (&refusing == &call.a_ ? call.b_ : call.a_).accept();
    other.read_header();
    other.send(ok("done"));
    BOOST_TEST(read_result(call.caller_) == served);
    BOOST_TEST(call.grantor_.statistics().permits_ == 1U);
}

// Sends an idempotent call and loses its first attempt, which may have run, at
// whichever target got it. Returns the other target.
scripted_target& lose_first_attempt(two_targets& call)
{
    call.caller_.send(request("/kits/availability"));
    auto& target = first_connected(call.a_, call.b_);
    auto losing = target.accept();
    losing.read_header();
    losing.reset();
    return &target == &call.a_ ? call.b_ : call.a_;
}

// Guards against runs beyond the quota by further attempts.
BOOST_AUTO_TEST_CASE(an_attempt_after_one_that_may_have_run_needs_a_new_permit)
{
    two_targets call(two_permits());
    auto connection = lose_first_attempt(call).accept();
    connection.read_header();
    connection.send(ok("done"));
    BOOST_TEST(read_result(call.caller_) == served);
    BOOST_TEST(call.grantor_.statistics().permits_ == 2U);
}

// Status 429 would promise that the call has not run, though an attempt may
// have.
BOOST_AUTO_TEST_CASE(a_call_that_may_have_run_never_gets_429)
{
    two_targets call(one_permit());
    auto& other = lose_first_attempt(call);
    const auto result = read_result(call.caller_);
    BOOST_TEST(contains(result, " unknown "));
    BOOST_TEST(result.substr(0, 1) == "5");
    BOOST_TEST(result.substr(0, 3) != "503");
    BOOST_TEST(!other.has_pending_connection());
}

// Holds the thread of a grantor in its limit function until it is released.
class held_grantor
{
public:
    explicit held_grantor(const fleet_limit& limit)
        : grantor_(
              [this, limit](const limit_key&)
              {
                  is_asked_ = true;
                  released_.wait();
                  return limit;
              })
    {
    }

    test_grantor& grantor()
    {
        return grantor_;
    }

    void wait_until_asked()
    {
        wait_until(
            [this]
            {
                return is_asked_.load();
            });
    }

    void release()
    {
        release_.set_value();
    }

private:
    std::atomic<bool> is_asked_{false};
    std::promise<void> release_;
    std::shared_future<void> released_ = release_.get_future().share();
    test_grantor grantor_;
};

// The permit of a caller that has left must go to another call, and its late
// arrival must not touch the call that is gone.
BOOST_AUTO_TEST_CASE(a_permit_for_a_caller_that_has_left_goes_to_another)
{
    held_grantor held(one_permit());
    auto target = target_without_load();
    relay vm(release_with_quota({target.address()}),
             settings_with_grantors({held.grantor().address()}));
    wait_until_bucket_is_full();
    auto leaving = vm.call();
    leaving.send(request("/kits/leaving"));
    held.wait_until_asked();
    leaving.reset();
    wait_until(
        [&]
        {
            return vm.path()
                       .statistics()
                       .reasons_[error_kind::call_cancelled] == 1U;
        });
    held.release();
    wait_until(
        [&]
        {
            return held.grantor().statistics().permits_ == 1U;
        });
    BOOST_TEST(call_once(vm, request("/kits/next")) == served);
    BOOST_TEST(held.grantor().statistics().permits_ == 1U);
    BOOST_TEST(target.calls() == 1);
    BOOST_TEST(vm.path().statistics().reasons_[error_kind::call_cancelled] ==
               1U);
}

// The deadline ends a call that waits for a permit, after which the next call
// of its connection begins, in the same object.
BOOST_AUTO_TEST_CASE(a_call_after_one_that_ended_awaiting_a_permit_is_served)
{
    held_grantor held(one_permit());
    auto target = target_without_load();
    relay vm(release_with_quota({target.address()}),
             settings_with_grantors({held.grantor().address()}));
    wait_until_bucket_is_full();
    auto caller = vm.call();
    caller.send(request("/kits/late", "ta1", "Anvilturn-Deadline-Ms: 10\r\n") +
                request("/kits/next"));
    held.wait_until_asked();
    const auto result = read_result(caller);
    BOOST_TEST(contains(result, "503 not-run "));
    held.release();
    BOOST_TEST(read_result(caller) == served);
    BOOST_TEST(held.grantor().statistics().permits_ == 1U);
    BOOST_TEST(target.calls() == 1);
}

// A response that came before that of a call ahead of it would reach the wrong
// call.
BOOST_AUTO_TEST_CASE(requests_behind_one_that_awaits_a_permit_stay_in_order)
{
    held_grantor held(ample_limit());
    scripted_target target;
    relay vm(release_with_quota({target.address()}),
             settings_with_grantors({held.grantor().address()}));
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
    auto caller = vm.call();
    caller.send(request("/kits/1") + request("/kits/2", "tb1") +
                request("/kits/3") + request("/kits/4", "none"));
    held.wait_until_asked();
    BOOST_TEST(!target.has_pending_connection());
    held.release();
    auto connection = target.accept();
    for (const std::string name : {"1", "2", "3"})
    {
        BOOST_TEST(
            contains(connection.read_header(), "GET /kits/" + name + " "));
        connection.send(ok("body" + name));
        BOOST_TEST(outcome_of(caller.read_header()) == "answered");
        BOOST_TEST(caller.read_bytes(5) == "body" + name);
    }
    BOOST_TEST(read_result(caller) == "401 not-run api_key_unknown");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace anvilturn::test
