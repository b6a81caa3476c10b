#include <av_routing/target_summary.hpp>

#include <boost/test/unit_test.hpp>

using namespace anvilturn;

namespace
{

target_view reported(int load, double slowdown, double age)
{
    target_view view;
    view.reported_load_ = load;
    view.reported_slowdown_ = slowdown;
    view.report_age_ = milliseconds(age);
    return view;
}

} // namespace

BOOST_AUTO_TEST_SUITE(target_summary_suite)

BOOST_AUTO_TEST_CASE(ineligible_targets_are_not_counted)
{
    auto excluded = reported(0, 1.0, 1.0);
    excluded.eligible_ = false;
    const auto census = summarize_targets({reported(6, 1.0, 30.0),
                                           reported(6, 5.0, 20.0),
                                           reported(2, 5.0, 40.0),
                                           reported(2, 1.0, 50.0),
                                           excluded});
    BOOST_TEST(census.eligible_ == 4);
    BOOST_TEST(census.full_ == 2);
    BOOST_TEST(census.slowed_ == 1);
    BOOST_TEST(census.newest_report_age_.count() == 20.0);
}

BOOST_AUTO_TEST_CASE(calls_of_this_vm_count_without_reports)
{
    target_view busy;
    busy.local_in_flight_ = busy.local_limit_;
    const auto census = summarize_targets({busy, target_view()});
    BOOST_TEST(census.full_ == 1);
    BOOST_TEST(census.newest_report_age_.count() == -1.0);
    BOOST_TEST((summarize_targets({}) == target_summary()));
}

BOOST_AUTO_TEST_SUITE_END()
