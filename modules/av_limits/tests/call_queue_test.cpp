#include <av_limits/call_queue.hpp>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <map>
#include <vector>

using namespace anvilturn;

namespace
{

constexpr milliseconds far_start(1e9);

constexpr auto transactional = traffic_class::transactional;
constexpr auto interactive = traffic_class::interactive;
constexpr auto bulk = traffic_class::bulk;

} // namespace

BOOST_AUTO_TEST_SUITE(call_queue_suite)

BOOST_AUTO_TEST_CASE(higher_class_first_then_arrival_order_of_equals)
{
    call_queue<int> queue(10);
    queue.push(1, bulk, far_start);
    queue.push(2, interactive, far_start);
    queue.push(3, transactional, far_start);
    queue.push(4, interactive, far_start);
    queue.push(5, transactional, far_start);
    for (const int expected : {3, 5, 2, 4, 1})
    {
        BOOST_TEST(*queue.pop() == expected);
    }
    BOOST_TEST(!queue.pop().has_value());
    BOOST_TEST(queue.empty());
}

// Of two callers that wait, the one with less time left is served first.
BOOST_AUTO_TEST_CASE(call_that_must_start_soonest_is_first_in_its_class)
{
    call_queue<int> queue(10);
    queue.push(1, interactive, milliseconds(300.0));
    queue.push(2, interactive, milliseconds(100.0));
    queue.push(3, transactional, milliseconds(900.0));
    queue.push(4, interactive, milliseconds(200.0));
    BOOST_TEST(queue.size_ahead_of(interactive, milliseconds(200.0)) == 2u);
    BOOST_TEST(queue.size_ahead_of(interactive, milliseconds(50.0)) == 0u);
    for (const int expected : {3, 2, 4, 1})
    {
        BOOST_TEST(*queue.pop() == expected);
    }
}

BOOST_AUTO_TEST_CASE(lower_classes_are_not_starved)
{
    call_queue<traffic_class> queue(100000);
    for (int i = 0; i < 3000; ++i)
    {
        for (const auto value : {transactional, interactive, bulk})
        {
            queue.push(value, value, far_start);
        }
    }
    std::map<traffic_class, int> served;
    for (int i = 0; i < 3000; ++i)
    {
        ++served[*queue.pop()];
    }
    BOOST_TEST(served[interactive] >= 250);
    BOOST_TEST(served[interactive] <= 350);
    BOOST_TEST(served[bulk] >= 90);
    BOOST_TEST(served[bulk] <= 110);
}

BOOST_AUTO_TEST_CASE(full_queue_takes_a_call_only_in_place_of_a_lower_class)
{
    call_queue<int> queue(2);
    queue.push(1, bulk, far_start);
    queue.push(2, interactive, far_start);
    BOOST_TEST(!queue.accepts(bulk));
    BOOST_TEST(queue.accepts(interactive));
    BOOST_TEST(queue.accepts(transactional));
    queue.push(3, transactional, far_start);
    BOOST_TEST(queue.is_over_limit());
    BOOST_TEST(*queue.displace() == 1);
    BOOST_TEST(!queue.is_over_limit());
    BOOST_TEST(!queue.accepts(interactive));
}

BOOST_AUTO_TEST_CASE(displace_removes_the_last_call_of_the_lowest_class)
{
    call_queue<int> queue(10);
    queue.push(1, interactive, far_start);
    queue.push(2, bulk, far_start);
    queue.push(3, bulk, far_start);
    BOOST_TEST(*queue.displace() == 3);
    BOOST_TEST(*queue.displace() == 2);
    BOOST_TEST(*queue.displace() == 1);
    BOOST_TEST(!queue.displace().has_value());
}

BOOST_AUTO_TEST_CASE(take_expired_removes_calls_at_or_before_the_point)
{
    call_queue<int> queue(10);
    queue.push(1, bulk, milliseconds(10.0));
    queue.push(2, transactional, milliseconds(20.0));
    queue.push(3, interactive, milliseconds(30.0));
    const auto expired = queue.take_expired(milliseconds(20.0));
    BOOST_TEST(expired.size() == 2u);
    BOOST_TEST(queue.size() == 1u);
    BOOST_TEST(*queue.pop() == 3);
}

BOOST_AUTO_TEST_CASE(withdrawn_call_is_removed_exactly_once)
{
    call_queue<int> queue(10);
    queue.push(1, interactive, far_start);
    const auto ticket = queue.push(2, interactive, far_start);
    BOOST_TEST(*queue.withdraw(ticket) == 2);
    BOOST_TEST(!queue.withdraw(ticket).has_value());
    BOOST_TEST(*queue.pop() == 1);
    BOOST_TEST(!queue.pop().has_value());
}

BOOST_AUTO_TEST_CASE(calls_are_taken_by_their_position)
{
    call_queue<int> queue(10);
    for (int call = 0; call < 5; ++call)
    {
        queue.push(call, bulk, milliseconds(call));
    }
    const std::vector<int> expected{0, 2, 4};
    BOOST_TEST((queue.take(bulk, {0, 2, 4}) == expected));
    BOOST_TEST(*queue.pop() == 1);
    BOOST_TEST(*queue.pop() == 3);
    BOOST_TEST(queue.empty());
}

BOOST_AUTO_TEST_CASE(peek_returns_the_call_that_pop_removes)
{
    call_queue<int> queue(100);
    BOOST_TEST(queue.peek() == nullptr);
    for (int i = 0; i < 60; ++i)
    {
        queue.push(i, static_cast<traffic_class>(i % 3), milliseconds(1.0));
    }
    while (!queue.empty())
    {
        const int next = *queue.peek();
        BOOST_TEST(*queue.pop() == next);
    }
}

// Compares the queue with a map of the waiting calls as the reference model:
// every call leaves exactly once, by pop, displace, withdraw, take_expired or
// take.
RC_BOOST_PROP(every_call_leaves_exactly_once, ())
{
    call_queue<int> queue(16);
    std::map<int, queue_ticket> waiting;
    const auto leave = [&](int call)
    {
        RC_ASSERT(waiting.erase(call) == 1u);
    };
    int next = 0;
    const auto steps =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 60));
    for (const int step : steps)
    {
        const auto value = static_cast<traffic_class>(step % 3);
        if (step < 30 && queue.accepts(value))
        {
            const milliseconds deadline(step * 10.0);
            ++next;
            waiting[next] = queue.push(next, value, deadline);
            while (queue.is_over_limit())
            {
                leave(*queue.displace());
            }
        }
        else if (step < 50 && !waiting.empty())
        {
            leave(*queue.pop());
        }
        else if (step < 55 && !waiting.empty())
        {
            const auto ticket = waiting.begin()->second;
            leave(*queue.withdraw(ticket));
        }
        else if (step >= 58 && queue.size(value) > 0)
        {
            for (const int call : queue.take(value, {queue.size(value) - 1}))
            {
                leave(call);
            }
        }
        else if (step >= 55)
        {
            const milliseconds point((step - 55) * 50.0);
            for (const int call : queue.take_expired(point))
            {
                leave(call);
            }
        }
        RC_ASSERT(queue.size() == waiting.size());
        RC_ASSERT(queue.size() <= 16u);
    }
}

BOOST_AUTO_TEST_SUITE_END()
