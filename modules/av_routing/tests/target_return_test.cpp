#include <av_routing/target_return.hpp>

#include <boost/test/unit_test.hpp>

#include <vector>

using namespace anvilturn;

namespace
{

struct return_case
{
    const char* name_;
    // Results of checks three seconds apart.
    std::vector<bool> checks_;
    bool returned_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(target_return_suite)

BOOST_AUTO_TEST_CASE(target_returns_after_good_checks_over_some_time)
{
    const std::vector<return_case> cases = {
        {"none", {}, false},
        {"one", {true}, false},
        {"four checks within nine seconds", {true, true, true, true}, false},
        {"five checks over twelve seconds",
         {true, true, true, true, true},
         true},
        {"a failed check restarts the count",
         {true, true, true, false, true, true, true, true},
         false},
        {"a failed check at the end",
         {true, true, true, true, true, false},
         false},
    };
    constexpr double check_interval_ms = 3000.0;
    for (const auto& row : cases)
    {
        BOOST_TEST_CONTEXT(row.name_)
        {
            target_return state;
            milliseconds now(0.0);
            for (const bool good : row.checks_)
            {
                now = now + milliseconds(check_interval_ms);
                state = after_health_check(state, good, now);
            }
            BOOST_TEST(has_returned(state, now) == row.returned_);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
