#include "running_context.hpp"

#include <av_net/callback_timer.hpp>

#include <boost/asio/post.hpp>
#include <boost/test/unit_test.hpp>

#include <chrono>
#include <functional>
#include <optional>
#include <thread>

using namespace anvilturn;
using anvilturn::testing::running_context;

namespace
{

constexpr milliseconds delay(2.0);

// A timer that has expired, and whose handler waits in the queue behind another
// one.
struct expired_timer : running_context
{
    // Returns how often the callback has run after the other handler.
    int calls_after(const std::function<void()>& other_handler)
    {
        start();
        boost::asio::post(context_, other_handler);
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
        context_.run();
        return calls_;
    }

    void start()
    {
        timer_->start(delay,
                      [this]
                      {
                          ++calls_;
                      });
    }

    std::optional<callback_timer> timer_{std::in_place, context_};
    int calls_ = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(callback_timer_suite)

BOOST_AUTO_TEST_CASE(the_callback_runs_once)
{
    expired_timer fixture;
    BOOST_TEST(fixture.calls_after([] {}) == 1);
}

// Guards against a callback that uses an owner that is gone.
BOOST_AUTO_TEST_CASE(the_callback_does_not_run_after_destruction)
{
    expired_timer fixture;
    const auto destroy = [&]
    {
        fixture.timer_.reset();
    };
    BOOST_TEST(fixture.calls_after(destroy) == 0);
}

BOOST_AUTO_TEST_CASE(the_callback_does_not_run_after_cancellation)
{
    expired_timer fixture;
    const auto cancel = [&]
    {
        fixture.timer_->cancel();
    };
    BOOST_TEST(fixture.calls_after(cancel) == 0);
}

// Guards against two chains of callbacks where each starts its timer again.
BOOST_AUTO_TEST_CASE(a_timer_started_again_runs_one_callback)
{
    expired_timer fixture;
    const auto restart = [&]
    {
        fixture.start();
    };
    BOOST_TEST(fixture.calls_after(restart) == 1);
}

BOOST_AUTO_TEST_CASE(a_callback_may_start_its_timer_again)
{
    running_context loop;
    callback_timer timer(loop.context_);
    int calls = 0;
    const std::function<void()> callback = [&]
    {
        if (++calls < 3)
        {
            timer.start(delay, callback);
        }
    };
    timer.start(delay, callback);
    loop.context_.run();
    BOOST_TEST(calls == 3);
}

BOOST_AUTO_TEST_SUITE_END()
