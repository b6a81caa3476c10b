// A VM that stops while requests arrive. Its thread is held up meanwhile, as
// under load, so that they lie unread in their sockets when it closes what is
// not in use.

#include "relay_fixture.hpp"

#include <av_core/monotonic_clock.hpp>

#include <future>
#include <string>

namespace anvilturn::test
{
namespace
{

// Longer than a VM that stops keeps an idle connection.
constexpr milliseconds idle_time(700.0);
// Long enough for finish to give its orders to the thread of the VM. If it did
// not, the requests would be read first, and the test would pass.
constexpr milliseconds order_time(100.0);

void let_pass(milliseconds time)
{
    const auto end = monotonic_now() + time;
    wait_until(
        [end]
        {
            return monotonic_now() >= end;
        });
}

// A VM with an idle connection, whose thread then blocks until resume().
class busy_vm
{
public:
    busy_vm()
        : vm_(make_release({target_.address()}),
              single_thread_settings(),
              gate_.get_future().share())
        , idle_caller_(vm_.call())
    {
        idle_caller_.send(get("/kits"));
        auto connection = target_.accept();
        connection.read_header();
        connection.send(ok("one"));
        BOOST_TEST(outcome_of(idle_caller_.read_header()) == "answered");
        BOOST_TEST(idle_caller_.read_bytes(3) == "one");
        let_pass(idle_time);
        auto busy_caller = vm_.call();
        busy_caller.send(get("/kits"));
        connection.read_header();
        connection.send(ok("two", "Anvilturn-Draining: 1\r\n"));
        vm_.notice();
    }

    // Stops the VM while its thread is blocked, and continues the thread.
    // Returns whether all calls ended in time.
    std::future<bool> stop()
    {
        auto finished =
            std::async(std::launch::async,
                       [this]
                       {
                           return vm_.path().finish(milliseconds(10000.0));
                       });
        let_pass(order_time);
        gate_.set_value();
        return finished;
    }

    scripted_target target_;
    std::promise<void> gate_;
    relay vm_;
    test_connection idle_caller_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(stop)

BOOST_AUTO_TEST_CASE(a_request_unread_on_an_idle_connection_is_answered)
{
    busy_vm busy;
    busy.idle_caller_.send(get("/kits"));
    auto finished = busy.stop();
    BOOST_TEST(outcome_of(busy.idle_caller_.read_header()) ==
               "not-run vm_stopping");
    busy.idle_caller_.close();
    BOOST_TEST(finished.get());
}

BOOST_AUTO_TEST_CASE(a_request_on_a_connection_not_accepted_yet_is_answered)
{
    busy_vm busy;
    auto caller = busy.vm_.call();
    caller.send(get("/kits"));
    auto finished = busy.stop();
    BOOST_TEST(outcome_of(caller.read_header()) == "not-run vm_stopping");
    caller.close();
    BOOST_TEST(finished.get());
}

BOOST_AUTO_TEST_CASE(an_idle_connection_is_closed)
{
    busy_vm busy;
    auto finished = busy.stop();
    BOOST_TEST(busy.idle_caller_.read_header().empty());
    BOOST_TEST((busy.idle_caller_.end() == boost::asio::error::eof));
    BOOST_TEST(finished.get());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace anvilturn::test
