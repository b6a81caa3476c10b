#include <av_daemon/isolation_detection.hpp>

#include <boost/test/unit_test.hpp>

#include <vector>

using namespace anvilturn;

namespace
{

struct observation
{
    double now_;
    double contact_;
};

struct contact_case
{
    const char* name_;
    std::vector<observation> observations_;
    bool isolated_;
};

// Observations every 100 ms from one time to another, with one contact.
std::vector<observation> steady(double from, double to, double contact)
{
    std::vector<observation> result;
    for (double now = from; now <= to; now += 100.0)
    {
        result.push_back({now, contact});
    }
    return result;
}

std::vector<observation> concatenated(std::vector<observation> first,
                                      const std::vector<observation>& second)
{
    first.insert(first.end(), second.begin(), second.end());
    return first;
}

} // namespace

BOOST_AUTO_TEST_SUITE(isolation_detection_suite)

BOOST_AUTO_TEST_CASE(isolation_requires_running_time_without_contact)
{
    const std::vector<contact_case> cases = {
        {"contact moves",
         concatenated(steady(0, 2000, 1), steady(2100, 4000, 2)),
         false},
        {"no contact for three seconds", steady(0, 3000, 1), true},
        {"paused for an hour, just resumed",
         concatenated(steady(0, 1000, 1), steady(3600000, 3600100, 1)),
         false},
        {"paused, then three seconds without contact",
         concatenated(steady(0, 1000, 1), steady(3600000, 3603000, 1)),
         true},
        {"contact after isolation",
         concatenated(steady(0, 3000, 1), steady(3100, 3200, 2)),
         false},
    };
    for (const auto& row : cases)
    {
        BOOST_TEST_CONTEXT(row.name_)
        {
            contact_state state;
            double now = 0.0;
            for (const auto& seen : row.observations_)
            {
                now = seen.now_;
                state = observe_contact(
                    state, milliseconds(seen.contact_), milliseconds(now));
            }
            BOOST_TEST(is_isolated(state, milliseconds(now)) == row.isolated_);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
