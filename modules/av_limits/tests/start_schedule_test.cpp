#include <av_limits/start_schedule.hpp>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <algorithm>

using namespace anvilturn;

namespace
{

constexpr int max_calls = 6;

std::vector<milliseconds> drawn_latest_starts()
{
    const auto times = *rc::gen::resize(
        max_calls,
        rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 60)));
    std::vector<milliseconds> result;
    for (const int time : times)
    {
        result.emplace_back(time);
    }
    std::sort(result.begin(), result.end());
    return result;
}

start_schedule drawn_schedule()
{
    return {milliseconds(0.0), milliseconds(*rc::gen::inRange(0, 20))};
}

bool all_start_in_time(const std::vector<milliseconds>& order,
                       const start_schedule& schedule)
{
    for (std::size_t i = 0; i < order.size(); ++i)
    {
        if (!(start_of(schedule, i) < order[i]))
        {
            return false;
        }
    }
    return true;
}

std::vector<milliseconds> without_late(std::vector<milliseconds> calls,
                                       const start_schedule& schedule)
{
    const auto late = calls_too_late(calls, schedule);
    for (auto it = late.rbegin(); it != late.rend(); ++it)
    {
        calls.erase(calls.begin() + static_cast<std::ptrdiff_t>(*it));
    }
    return calls;
}

} // namespace

BOOST_AUTO_TEST_SUITE(start_schedule_suite)

// A call is refused only once it could not be answered before its deadline.
RC_BOOST_PROP(latest_start_leaves_the_work_time_before_the_deadline, ())
{
    const milliseconds deadline(*rc::gen::inRange(0, 20000));
    const milliseconds work_time(*rc::gen::inRange(0, 5000));
    const auto start = latest_start(deadline, work_time);
    RC_ASSERT(start + work_time == deadline);
}

BOOST_AUTO_TEST_CASE(calls_behind_too_many_others_are_too_late)
{
    const start_schedule schedule{milliseconds(100.0), milliseconds(10.0)};
    const std::vector<milliseconds> waiting{
        milliseconds(105.0), milliseconds(105.0), milliseconds(115.0)};
    const std::vector<std::size_t> expected{1};
    BOOST_TEST((calls_too_late(waiting, schedule) == expected));
}

BOOST_AUTO_TEST_CASE(any_number_of_calls_is_accepted_before_a_rate_is_known)
{
    const start_schedule schedule{milliseconds(100.0), milliseconds(0.0)};
    const std::vector<milliseconds> waiting(100, milliseconds(101.0));
    BOOST_TEST(has_place_for(milliseconds(101.0), waiting, schedule));
    BOOST_TEST(!has_place_for(milliseconds(100.0), waiting, schedule));
}

// A call of a caller that has little time goes ahead of others, but not at the
// cost of one that was accepted.
BOOST_AUTO_TEST_CASE(new_call_makes_no_accepted_call_late)
{
    const start_schedule schedule{milliseconds(0.0), milliseconds(10.0)};
    const std::vector<milliseconds> waiting{milliseconds(15.0),
                                            milliseconds(15.0)};
    BOOST_TEST(!has_place_for(milliseconds(5.0), waiting, schedule));
    BOOST_TEST(has_place_for(milliseconds(25.0), waiting, schedule));
}

RC_BOOST_PROP(accepted_calls_all_start_in_time, ())
{
    const auto schedule = drawn_schedule();
    auto waiting = without_late(drawn_latest_starts(), schedule);
    RC_ASSERT(all_start_in_time(waiting, schedule));
    const milliseconds latest_start(*rc::gen::inRange(1, 60));
    RC_PRE(has_place_for(latest_start, waiting, schedule));
    waiting.insert(
        std::upper_bound(waiting.begin(), waiting.end(), latest_start),
        latest_start);
    RC_ASSERT(all_start_in_time(waiting, schedule));
}

RC_BOOST_PROP(refused_call_could_start_in_time_in_no_order, ())
{
    const auto schedule = drawn_schedule();
    auto order = without_late(drawn_latest_starts(), schedule);
    const milliseconds latest_start(*rc::gen::inRange(1, 60));
    RC_PRE(!has_place_for(latest_start, order, schedule));
    order.push_back(latest_start);
    std::sort(order.begin(), order.end());
    do
    {
        RC_ASSERT(!all_start_in_time(order, schedule));
    } while (std::next_permutation(order.begin(), order.end()));
}

RC_BOOST_PROP(more_time_left_is_never_refused_where_less_is_accepted, ())
{
    const auto schedule = drawn_schedule();
    const auto waiting = drawn_latest_starts();
    const milliseconds less(*rc::gen::inRange(1, 60));
    const auto more = less + milliseconds(*rc::gen::inRange(0, 60));
    RC_PRE(has_place_for(less, waiting, schedule));
    RC_ASSERT(has_place_for(more, waiting, schedule));
}

BOOST_AUTO_TEST_SUITE_END()
