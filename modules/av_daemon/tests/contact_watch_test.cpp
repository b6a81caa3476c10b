#include <av_daemon/contact_watch.hpp>

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

// Returns observations every 100 ms, in milliseconds, that all report the same
// last contact.
std::vector<observation> steady(double from, double to, double contact)
{
    std::vector<observation> result;
    for (double now = from; now <= to; now += 100.0)
    {
        result.push_back({now, contact});
    }
    return result;
}

std::vector<observation> joined(std::vector<observation> first,
                                const std::vector<observation>& second)
{
    first.insert(first.end(), second.begin(), second.end());
    return first;
}

} // namespace

BOOST_AUTO_TEST_SUITE(contact_watch)

BOOST_AUTO_TEST_CASE(isolation_follows_the_table)
{
    const std::vector<contact_case> cases = {
        {"contact advances",
         joined(steady(0, 2000, 1), steady(2100, 4000, 2)),
         false},
        {"no contact for three seconds", steady(0, 3000, 1), true},
        {"paused for an hour, just resumed",
         joined(steady(0, 1000, 1), steady(3600000, 3600100, 1)),
         false},
        {"paused, then three seconds without contact",
         joined(steady(0, 1000, 1), steady(3600000, 3603000, 1)),
         true},
        {"contact after isolation",
         joined(steady(0, 3000, 1), steady(3100, 3200, 2)),
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
