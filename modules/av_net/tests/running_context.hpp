#ifndef AV_NET_TESTS_RUNNING_CONTEXT_HPP
#define AV_NET_TESTS_RUNNING_CONTEXT_HPP

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include <chrono>

namespace anvilturn::testing
{

// An event loop that a test runs until something has happened.
struct running_context
{
    // The time limit is only there to end a test that fails.
    template <typename Condition>
    void run_until(Condition condition)
    {
        const auto limit =
            std::chrono::steady_clock::now() + std::chrono::seconds(30);
        context_.restart();
        while (!condition())
        {
            BOOST_TEST_REQUIRE((std::chrono::steady_clock::now() < limit));
            context_.run_one_for(std::chrono::milliseconds(100));
        }
    }

    boost::asio::io_context context_;
};

} // namespace anvilturn::testing

#endif
