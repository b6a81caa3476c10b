#include <av_proxy/av_proxy.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <memory>
#include <vector>

namespace anvilturn
{
namespace
{

BOOST_AUTO_TEST_SUITE(target_states)

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
    const auto slow_start_weight_after = [&](double time)
    {
        const auto until = targets[0].state_->ejected_until_ms_.load();
        return view_of({}, *targets[0].state_, milliseconds(until + time))
            .slow_start_weight_;
    };
    BOOST_TEST(slow_start_weight_after(1.0) < 0.2);
    BOOST_TEST(slow_start_weight_after(2000.0) == 1.0);
}

BOOST_AUTO_TEST_CASE(unreachable_target_is_retried_with_growing_backoff)
{
    target_state state("kits-1", "127.0.0.1:1");
    const auto at = [&](double now)
    {
        eligibility_input input;
        input.now_ = milliseconds(now);
        return eligibility({}, state, input) == target_eligibility::eligible;
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
        eligibility_input input;
        input.now_ = now;
        return eligibility(spec, state, input) == target_eligibility::eligible;
    };
    BOOST_TEST(!notice(target_notice_kind::draining, 100.0));
    BOOST_TEST(!notice(target_notice_kind::serving, 200.0));
    BOOST_TEST(notice(target_notice_kind::serving, 50.0));
}

// Guards against a check that the target answered before its last sign of
// draining, and that ends the exclusion because the first sign is older.
BOOST_AUTO_TEST_CASE(last_sign_of_draining_overrides_an_earlier_good_check)
{
    target_state state("kits-1", "127.0.0.1:1");
    const auto excluded_after_check_at = [&state](double checked, double now)
    {
        target_notice notice;
        notice.kind_ = target_notice_kind::serving;
        notice.age_ = milliseconds(now - checked);
        apply_notice(state, notice, milliseconds(now));
        eligibility_input input;
        input.now_ = milliseconds(now);
        return eligibility({}, state, input) == target_eligibility::excluded;
    };
    BOOST_TEST(record_response(state, nullptr, true, milliseconds(1000.0)));
    BOOST_TEST(!record_response(state, nullptr, true, milliseconds(2000.0)));
    BOOST_TEST(excluded_after_check_at(1500.0, 2100.0));
    // A sign that was seen earlier and becomes known later changes nothing.
    target_notice earlier;
    earlier.kind_ = target_notice_kind::draining;
    earlier.age_ = milliseconds(1300.0);
    apply_notice(state, earlier, milliseconds(2200.0));
    BOOST_TEST(excluded_after_check_at(1999.0, 2200.0));
    BOOST_TEST(!excluded_after_check_at(2050.0, 2300.0));
}

BOOST_AUTO_TEST_CASE(paused_vm_waits_for_fresh_target_state)
{
    struct freshness_case
    {
        const char* name_;
        double now_;
        double resumed_;
        double refreshed_;
        double answered_;
        bool isolated_;
        bool may_dispatch_;
    };
    const std::vector<freshness_case> cases{
        {"never paused", 9000, -1, -1, -1, false, true},
        {"no contact since the pause", 9100, 9000, 100, 100, false, false},
        {"control plane refreshed", 9100, 9000, 9050, 100, false, true},
        {"target responded", 9100, 9000, 100, 9050, false, true},
        {"isolated, too early", 9400, 9000, 100, 100, true, false},
        {"isolated, waited", 9500, 9000, 100, 100, true, true},
        {"not isolated, waited", 9500, 9000, 100, 100, false, false},
        {"control plane did not refresh", 12000, 9000, 100, 100, false, true},
    };
    for (const auto& one : cases)
    {
        BOOST_TEST_CONTEXT(one.name_)
        {
            freshness_input input;
            input.now_ = milliseconds(one.now_);
            input.resumed_at_ = milliseconds(one.resumed_);
            input.refreshed_at_ = milliseconds(one.refreshed_);
            input.answered_at_ = milliseconds(one.answered_);
            input.isolated_ = one.isolated_;
            BOOST_TEST(may_dispatch_to(input) == one.may_dispatch_);
        }
    }
    BOOST_TEST(!was_paused(milliseconds(0.0), milliseconds(2000.0)));
    BOOST_TEST(was_paused(milliseconds(0.0), milliseconds(2000.1)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace anvilturn
