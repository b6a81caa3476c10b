#include <av_limits/load_profile.hpp>

#include <boost/test/unit_test.hpp>

using namespace anvilturn;

namespace
{

load_profile profile_of(const std::vector<double>& times, int samples = 50)
{
    load_profile profile;
    for (int round = 0; round < samples; ++round)
    {
        for (std::size_t load = 0; load < times.size(); ++load)
        {
            profile = after_call(profile,
                                 static_cast<int>(load),
                                 1.0,
                                 milliseconds(times[load]));
        }
    }
    return profile;
}

} // namespace

BOOST_AUTO_TEST_SUITE(load_profile_suite)

// Targets whose calls take 1.7 times as long once four of six slots are busy.
BOOST_AUTO_TEST_CASE(
    best_concurrency_is_lower_for_targets_slow_when_nearly_full)
{
    const auto profile = profile_of({112, 114, 124, 123, 200, 200});
    BOOST_TEST(best_concurrency(profile, 6) == 4);
}

BOOST_AUTO_TEST_CASE(best_concurrency_is_all_slots_without_slowdown)
{
    BOOST_TEST(
        best_concurrency(profile_of({120, 121, 119, 125, 122, 124}), 6) == 6);
    BOOST_TEST(best_concurrency(load_profile(), 6) == 6);
    // Two slow calls per level are too few samples.
    BOOST_TEST(best_concurrency(profile_of({100, 100, 100, 100, 300, 300}, 2),
                                6) == 6);
}

BOOST_AUTO_TEST_CASE(reported_slowdown_is_divided_out_of_the_profile)
{
    load_profile profile;
    for (int i = 0; i < 40; ++i)
    {
        profile = after_call(profile, 0, 5.0, milliseconds(500.0));
        profile = after_call(profile, 1, 1.0, milliseconds(100.0));
    }
    BOOST_TEST(typical_time(profile).count() == 100.0,
               boost::test_tools::tolerance(0.01));
}

BOOST_AUTO_TEST_SUITE_END()
