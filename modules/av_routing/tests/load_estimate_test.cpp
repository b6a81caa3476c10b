#include <av_routing/load_estimate.hpp>

#include <boost/test/unit_test.hpp>

using namespace anvilturn;

namespace
{

target_view reported(int load, int own_then, double age_ms)
{
    target_view target;
    target.latency_ = milliseconds(20.0);
    target.reported_load_ = load;
    target.local_in_flight_at_report_ = own_then;
    target.report_age_ = milliseconds(age_ms);
    return target;
}

} // namespace

BOOST_AUTO_TEST_SUITE(load_estimate_suite)

BOOST_AUTO_TEST_CASE(estimate_equals_a_fresh_report)
{
    const typical_load usual{2.0, 2.0};
    BOOST_TEST(load_from_other_vms(reported(6, 1, 0.0), usual) == 5.0);
    auto target = reported(6, 1, 0.0);
    target.local_in_flight_ = 3;
    BOOST_TEST(estimated_load(target, usual) == 8.0);
}

BOOST_AUTO_TEST_CASE(estimate_decays_to_the_typical_load)
{
    const typical_load usual{2.0, 4.0};
    auto target = reported(6, 0, 1e6);
    BOOST_TEST(load_from_other_vms(target, usual) == 2.0);
    target.same_domain_ = false;
    BOOST_TEST(load_from_other_vms(target, usual) == 4.0);
    BOOST_TEST(load_from_other_vms(target_view{}, usual) == 2.0);
}

BOOST_AUTO_TEST_CASE(load_from_other_vms_is_never_negative)
{
    BOOST_TEST(load_from_other_vms(reported(1, 4, 0.0), typical_load{}) == 0.0);
}

BOOST_AUTO_TEST_CASE(typical_load_is_averaged_for_local_and_other_domains)
{
    std::vector<target_view> targets{reported(4, 0, 5.0),
                                     reported(2, 0, 900.0),
                                     target_view{},
                                     reported(6, 1, 5.0)};
    targets[3].same_domain_ = false;
    const auto usual = typical_load_from_other_vms(targets);
    BOOST_TEST(usual.same_domain_ == 3.0);
    BOOST_TEST(usual.other_domain_ == 5.0);
}

BOOST_AUTO_TEST_CASE(slow_start_lowers_the_slots_to_one_at_least)
{
    target_view target;
    target.slow_start_weight_ = 0.5;
    BOOST_TEST(effective_slots(target) == 3.0);
    target.slow_start_weight_ = 0.0;
    BOOST_TEST(effective_slots(target) == 1.0);
}

BOOST_AUTO_TEST_SUITE_END()
