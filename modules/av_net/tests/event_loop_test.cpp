#include <av_net/event_loop.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/test/unit_test.hpp>

#include <new>
#include <stdexcept>

using namespace anvilturn;

BOOST_AUTO_TEST_SUITE(event_loop)

// One unexpected error must not end the process.
BOOST_AUTO_TEST_CASE(an_exception_ends_only_the_handler_that_throws_it)
{
    boost::asio::io_context context;
    int handled = 0;
    boost::asio::post(context,
                      []
                      {
                          throw std::runtime_error("unexpected message");
                      });
    boost::asio::post(context,
                      [&handled]
                      {
                          ++handled;
                      });
    boost::asio::post(context,
                      []
                      {
                          throw std::bad_alloc();
                      });
    boost::asio::post(context,
                      [&handled]
                      {
                          ++handled;
                      });
    run_event_loop(context, "test");
    BOOST_TEST(handled == 2);
}

BOOST_AUTO_TEST_CASE(a_stopped_context_ends_the_loop)
{
    boost::asio::io_context context;
    boost::asio::post(context,
                      [&context]
                      {
                          context.stop();
                          throw std::runtime_error("while stopping");
                      });
    run_event_loop(context, "test");
    BOOST_TEST(context.stopped());
}

BOOST_AUTO_TEST_SUITE_END()
