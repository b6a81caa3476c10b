#include <av_daemon/isolation_detection.hpp>

#include <boost/test/unit_test.hpp>

#include <vector>

using namespace anvilturn;

namespace
{

struct observation
{
    double now_ms_;
    double last_contact_ms_;
};

struct isolation_case
{
    const char* name_;
    std::vector<observation> observations_;
    bool isolated_;
};

// Returns observations every 100 ms, in milliseconds, that all report the same
// last contact.
std::vector<observation>
observations_every_100_ms(double from_ms, double to_ms, double last_contact_ms)
{
    std::vector<observation> result;
    for (double now_ms = from_ms; now_ms <= to_ms; now_ms += 100.0)
    {
        result.push_back({now_ms, last_contact_ms});
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
    const std::vector<isolation_case> cases = {
        {"contact advances",
         concatenated(observations_every_100_ms(0, 2000, 1),
                      observations_every_100_ms(2100, 4000, 2)),
         false},
        {"no contact for three seconds",
         observations_every_100_ms(0, 3000, 1),
         true},
        {"paused for an hour, just resumed",
         concatenated(observations_every_100_ms(0, 1000, 1),
                      observations_every_100_ms(3600000, 3600100, 1)),
         false},
        {"paused, then three seconds without contact",
         concatenated(observations_every_100_ms(0, 1000, 1),
                      observations_every_100_ms(3600000, 3603000, 1)),
         true},
        {"contact after isolation",
         concatenated(observations_every_100_ms(0, 3000, 1),
                      observations_every_100_ms(3100, 3200, 2)),
         false},
    };
    for (const auto& row : cases)
    {
        BOOST_TEST_CONTEXT(row.name_)
        {
            isolation_state state;
            double now_ms = 0.0;
            for (const auto& observation_entry : row.observations_)
            {
                now_ms = observation_entry.now_ms_;
                state = observe_contact(
                    state,
                    milliseconds(observation_entry.last_contact_ms_),
                    milliseconds(now_ms));
            }
            BOOST_TEST(is_isolated(state, milliseconds(now_ms)) ==
                       row.isolated_);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
