#include <av_daemon/graceful_stop.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

using namespace anvilturn;

namespace
{

constexpr std::chrono::seconds watchdog{20};

// A graceful stop with actions that only record that they were called.
struct noted_stop
{
    explicit noted_stop(bool calls_end = true)
    {
        shutdown_settings settings;
        settings.balancer_lag_ = milliseconds(5.0);
        settings.deadline_ = milliseconds(2000.0);
        stop_actions actions;
        actions.fail_readiness_ = note("unready");
        actions.leave_fleet_ = note("leave");
        actions.stop_accepting_ = note("close");
        actions.finish_calls_ = [calls_end](milliseconds left)
        {
            return calls_end && left.count() > 0.0;
        };
        actions.has_work_ = [this]
        {
            return operators_ > 0 && operators_-- > 0;
        };
        actions.exit_process_ = [this]
        {
            exit_code_ = stop_->exit_code();
            context_.stop();
        };
        stop_.emplace(context_, settings, std::move(actions));
    }

    std::function<void()> note(const char* what)
    {
        return [this, what]
        {
            steps_.emplace_back(what);
        };
    }

    void run()
    {
        stop_->request();
        context_.run_for(watchdog);
    }

    boost::asio::io_context context_;
    std::vector<std::string> steps_;
    int operators_ = 0;
    std::optional<int> exit_code_;
    std::optional<graceful_stop> stop_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(graceful_stops)

BOOST_AUTO_TEST_CASE(callers_are_sent_away_before_the_vm_closes)
{
    noted_stop vm;
    BOOST_TEST((vm.stop_->phase() == shutdown_phase::serving));
    vm.run();
    const std::vector<std::string> expected{"unready", "leave", "close"};
    BOOST_TEST(vm.steps_ == expected, boost::test_tools::per_element());
    BOOST_TEST_REQUIRE(vm.exit_code_.has_value());
    BOOST_TEST(*vm.exit_code_ == 0);
}

BOOST_AUTO_TEST_CASE(calls_that_were_cut_off_show_in_the_exit_code)
{
    noted_stop vm(false);
    vm.run();
    BOOST_TEST_REQUIRE(vm.exit_code_.has_value());
    BOOST_TEST(*vm.exit_code_ == 1);
}

BOOST_AUTO_TEST_CASE(operators_learn_the_outcome_of_their_work_first)
{
    noted_stop vm;
    vm.operators_ = 2;
    vm.run();
    BOOST_TEST(vm.operators_ == 0);
    BOOST_TEST(vm.exit_code_.has_value());
}

BOOST_AUTO_TEST_CASE(a_second_request_changes_nothing)
{
    noted_stop vm;
    vm.stop_->request();
    vm.run();
    BOOST_TEST(vm.steps_.size() == 3U);
}

BOOST_AUTO_TEST_SUITE_END()
