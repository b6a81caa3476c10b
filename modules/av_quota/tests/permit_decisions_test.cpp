#include <av_quota/av_quota.hpp>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <utility>
#include <vector>

using namespace anvilturn;

namespace
{

milliseconds ms(double count)
{
    return milliseconds(count);
}

grantor_share ten_per_second()
{
    grantor_share share;
    share.rate_per_second_ = 10.0;
    share.burst_ = 5.0;
    share.lease_ = ms(500.0);
    share.reserve_rate_per_second_ = 1.0;
    share.reserve_burst_ = 2.0;
    share.full_after_ = ms(5500.0);
    return share;
}

permit_request request_for(int wanted, bool may_use_reserve = false)
{
    return {{limit_kind::account, "acme"}, wanted, may_use_reserve};
}

double generate(int low, int high, double unit)
{
    return *rc::gen::inRange(low, high) * unit;
}

} // namespace

BOOST_AUTO_TEST_SUITE(permit_decisions)

// Guards against shares that together exceed the bound, however tight it is.
RC_BOOST_PROP(shares_stay_within_the_bound, ())
{
    fleet_limit limit;
    limit.rate_per_second_ = generate(1, 10000, 0.1);
    limit.burst_ = generate(0, 1000, 1.0);
    limit.window_ = ms(generate(1, 60, 250.0));
    limit.max_lease_ = ms(generate(1, 6, 100.0));
    limit.max_per_window_ = generate(0, 20000, 0.5);
    const auto count = *rc::gen::inRange<std::size_t>(1, 6);
    const auto share = share_of(limit, count);
    RC_ASSERT(share.lease_ <= limit.max_lease_);
    RC_ASSERT(share.lease_ > ms(0.0));
    RC_ASSERT(share.rate_per_second_ >= 0.0);
    RC_ASSERT(share.burst_ >= 0.0);
    RC_ASSERT(share.reserve_burst_ >= 0.0);
    RC_ASSERT(share.reserve_rate_per_second_ >= 0.0);
    const double covered_s = (limit.window_ + share.lease_).count() / 1000.0;
    const double most =
        share.burst_ + share.reserve_burst_ +
        (share.rate_per_second_ + share.reserve_rate_per_second_) * covered_s;
    RC_ASSERT(most * static_cast<double>(count) <= limit.max_per_window_);
}

// Guards against a limit where the platform or the release sets none.
BOOST_AUTO_TEST_CASE(without_rate_or_bounds_there_is_no_limit)
{
    limit_bounds bounds;
    account_spec account;
    service_spec service;
    account.rate_per_second_ = 10.0;
    service.cold_rate_per_second_ = 4.5;
    BOOST_TEST(!account_limit(account, bounds).has_value());
    BOOST_TEST(!cold_target_limit(service, bounds).has_value());
    bounds.account_window_ = ms(5000.0);
    bounds.account_slack_ = 20.0;
    bounds.cold_overrun_ = 1.5;
    bounds.cold_slack_ = 8.0;
    BOOST_TEST(account_limit(account, bounds)->max_per_window_ == 70.0);
    BOOST_TEST(cold_target_limit(service, bounds)->max_per_window_ == 14.75);
    account.rate_per_second_ = 0.0;
    service.cold_rate_per_second_ = 0.0;
    BOOST_TEST(!account_limit(account, bounds).has_value());
    BOOST_TEST(!cold_target_limit(service, bounds).has_value());
}

// Guards against a cold target that gets much less than its rate.
BOOST_AUTO_TEST_CASE(share_of_a_cold_target_is_usable)
{
    limit_bounds bounds;
    bounds.cold_overrun_ = 1.5;
    bounds.cold_slack_ = 8.0;
    service_spec service;
    service.cold_rate_per_second_ = 4.5;
    const auto share = share_of(*cold_target_limit(service, bounds), 3);
    BOOST_TEST(share.rate_per_second_ == 1.5);
    BOOST_TEST(share.burst_ >= 1.0);
    BOOST_TEST((share.lease_ == ms(100.0)));
    BOOST_TEST(share.reserve_burst_ >= 1.0);
}

// Guards against calls that all return at the same time after a refusal.
BOOST_AUTO_TEST_CASE(retry_after_counts_the_callers_refused_before)
{
    permit_bucket bucket;
    const auto share = ten_per_second();
    for (const double expected_ms : {100.0, 200.0, 300.0})
    {
        const auto grant = take_permits(bucket, share, request_for(1), ms(0.0));
        BOOST_TEST(grant.permits_ == 0);
        BOOST_TEST(grant.retry_after_.count() == expected_ms);
    }
    // The three are expected to have returned.
    BOOST_TEST(
        take_permits(bucket, share, request_for(9), ms(450.0)).permits_ == 4);
    const auto later = take_permits(bucket, share, request_for(1), ms(450.0));
    BOOST_TEST(later.retry_after_.count() == 50.0,
               boost::test_tools::tolerance(1e-6));
}

// Guards against use of the reserve while all grantors are up, which would
// leave none for an outage.
BOOST_AUTO_TEST_CASE(reserve_is_only_for_vms_that_miss_a_grantor)
{
    permit_bucket bucket;
    bucket.tokens_ = 1.0;
    bucket.reserve_tokens_ = 2.0;
    const auto share = ten_per_second();
    BOOST_TEST(take_permits(bucket, share, request_for(5), ms(0.0)).permits_ ==
               1);
    BOOST_TEST(
        take_permits(bucket, share, request_for(5, true), ms(0.0)).permits_ ==
        2);
}

// Guards against tokens of the higher limit that are granted after it was
// lowered, and against a raised limit that needs time to take effect.
BOOST_AUTO_TEST_CASE(changed_limits_take_effect_at_once)
{
    permit_bucket bucket;
    bucket.tokens_ = 5.0;
    auto share = ten_per_second();
    share.burst_ = 2.0;
    BOOST_TEST(take_permits(bucket, share, request_for(9), ms(0.0)).permits_ ==
               2);
    share.rate_per_second_ = 1000.0;
    share.burst_ = 50.0;
    BOOST_TEST(
        take_permits(bucket, share, request_for(99), ms(20.0)).permits_ == 20);
}

// Guards against permits of an earlier process and of this one in one window,
// and against small accounts that are refused long after a restart.
BOOST_AUTO_TEST_CASE(new_buckets_have_what_accumulated_since_the_start)
{
    const auto share = ten_per_second();
    permit_ledger ledger;
    ledger.started_at_ = ms(1000.0);
    BOOST_TEST(
        take_permits(ledger, share, request_for(9), ms(1350.0)).permits_ == 3);
    auto slow = share;
    slow.rate_per_second_ = 0.01;
    permit_ledger other;
    other.started_at_ = ms(1000.0);
    BOOST_TEST(take_permits(other, slow, request_for(1), ms(6400.0)).permits_ ==
               0);
    BOOST_TEST(take_permits(other, slow, request_for(9), ms(6600.0)).permits_ ==
               5);
    BOOST_TEST(
        take_permits(other, slow, request_for(9), ms(12'100.0)).permits_ == 0);
}

// Guards against a ledger that grows with every limit that was ever used, and
// against an eviction that gives an account its burst again.
BOOST_AUTO_TEST_CASE(only_idle_full_buckets_are_removed)
{
    auto share = ten_per_second();
    permit_ledger ledger;
    take_permits(ledger, share, request_for(5), ms(10'000.0));
    remove_idle(ledger, ms(15'400.0));
    BOOST_TEST(ledger.buckets_.size() == 1U);
    remove_idle(ledger, ms(70'000.0));
    BOOST_TEST(ledger.buckets_.empty());
    share.rate_per_second_ = 0.01;
    take_permits(ledger, share, request_for(5), ms(70'000.0));
    remove_idle(ledger, ms(200'000.0));
    BOOST_TEST(ledger.buckets_.size() == 1U);
}

// Guards against permits of a removed bucket and of a new one that are used in
// one window, which may be of any length, and against a ledger that keeps the
// buckets of all limits ever used.
BOOST_AUTO_TEST_CASE(an_idle_bucket_is_kept_for_a_window_and_a_lease)
{
    for (const double window_ms :
         {250.0, 1000.0, 5000.0, 59'700.0, 60'000.0, 120'000.0, 86'400'000.0})
    {
        fleet_limit limit;
        limit.rate_per_second_ = 3000.0;
        limit.burst_ = 30.0;
        limit.window_ = ms(window_ms);
        limit.max_per_window_ = 4000.0 * window_ms;
        limit.max_lease_ = ms(500.0);
        const auto share = share_of(limit, 3);
        permit_ledger ledger;
        const auto used_at = ms(1e9);
        BOOST_TEST(
            take_permits(ledger, share, request_for(1), used_at).permits_ == 1);
        remove_idle(ledger, used_at + ms(window_ms + 499.0));
        BOOST_TEST(ledger.buckets_.size() == 1U);
        remove_idle(ledger, used_at + ms(window_ms + 501.0));
        BOOST_TEST(ledger.buckets_.empty());
    }
}

// Guards against a removal that gives an account more than the higher burst and
// the higher rate of its limits, which change here more often than they do.
RC_BOOST_PROP(removal_keeps_the_sum_of_changing_limits_within_a_window, ())
{
    const double window_s = generate(1, 300, 1.0);
    const double lease_s = 0.5;
    std::vector<grantor_share> shares(2);
    // A small bucket is soon full, and removed, after which a large one is.
    shares[0].burst_ = generate(1, 5, 1.0);
    shares[1].burst_ = generate(50, 200, 1.0);
    for (auto& share : shares)
    {
        share.rate_per_second_ = generate(1, 20, 0.1);
        share.lease_ = ms(lease_s * 1000.0);
        share.full_after_ = ms((window_s + lease_s) * 1000.0);
    }
    const double most =
        std::max(shares[0].burst_, shares[1].burst_) +
        std::max(shares[0].rate_per_second_, shares[1].rate_per_second_) *
            (window_s + lease_s);
    permit_ledger ledger;
    std::vector<std::pair<double, int>> grants;
    double now_s = 1000.0;
    for (int step = 0; step < 60; ++step)
    {
        now_s += *rc::gen::arbitrary<bool>() ? generate(0, 5, 1.0)
                                             : generate(55, 70, 1.0);
        remove_idle(ledger, ms(now_s * 1000.0));
        const auto& share = shares[*rc::gen::inRange<std::size_t>(0, 2)];
        const int wanted = *rc::gen::inRange(1, 300);
        const auto grant = take_permits(
            ledger, share, request_for(wanted), ms(now_s * 1000.0));
        grants.emplace_back(now_s, grant.permits_);
        double in_window = 0.0;
        for (const auto& [at_s, permits] : grants)
        {
            in_window += at_s > now_s - window_s - lease_s ? permits : 0;
        }
        RC_ASSERT(in_window <= most + 1e-6);
    }
}

// Guards against a late response whose permits are valid for longer than the
// grantor counts with.
BOOST_AUTO_TEST_CASE(lease_counts_from_the_request)
{
    permit_stock stock;
    add_permits(stock, 2, ms(500.0), ms(1000.0), ms(1390.0));
    add_permits(stock, 1, ms(500.0), ms(900.0), ms(1390.0));
    // Came after its lease.
    add_permits(stock, 7, ms(500.0), ms(800.0), ms(1390.0));
    BOOST_TEST((*take_permit(stock, ms(1399.0)) == ms(1400.0)));
    BOOST_TEST((*take_permit(stock, ms(1450.0)) == ms(1500.0)));
    give_back_permit(stock, ms(1500.0), ms(1460.0));
    BOOST_TEST((*take_permit(stock, ms(1499.0)) == ms(1500.0)));
    BOOST_TEST(!take_permit(stock, ms(1500.0)).has_value());
    give_back_permit(stock, ms(1500.0), ms(1500.0));
    BOOST_TEST(stock.batches_.empty());
}

// Guards against permits that are wasted on accounts with few calls, and
// against messages that grow with the calls.
BOOST_AUTO_TEST_CASE(permits_are_prefetched_by_the_demand)
{
    permit_stock stock;
    BOOST_TEST(permits_to_request(stock, 0, ms(0.0)) == 0);
    BOOST_TEST(permits_to_request(stock, 3, ms(0.0)) == 3);
    stock.lease_ = ms(500.0);
    BOOST_TEST(!take_permit(stock, ms(0.0)).has_value());
    BOOST_TEST(permits_to_request(stock, 1, ms(0.0)) == 1);
    int messages = 0;
    for (int call = 0; call < 1000; ++call)
    {
        const auto now = ms(call * 10.0);
        const int waiting = take_permit(stock, now) ? 0 : 1;
        const int wanted = permits_to_request(stock, waiting, now);
        if (wanted > 0)
        {
            ++messages;
            add_permits(stock, wanted, ms(500.0), now, now);
        }
    }
    BOOST_TEST(messages <= 100);
}

// Guards against a VM that is refused and takes permits for calls that it does
// not have yet.
BOOST_AUTO_TEST_CASE(a_refused_vm_does_not_prefetch)
{
    permit_stock stock;
    stock.lease_ = ms(500.0);
    stock.used_per_second_ = 100.0;
    record_refusal(stock, ms(4000.0), ms(0.0));
    BOOST_TEST(permits_to_request(stock, 2, ms(50.0)) == 2);
    BOOST_TEST(permits_to_request(stock, 2, ms(150.0)) > 20);
}

BOOST_AUTO_TEST_SUITE_END()
