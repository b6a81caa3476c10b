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
constexpr milliseconds deadline{2000.0};

// A graceful stop with actions that only record that they were called.
struct graceful_stop_fixture
{
    explicit graceful_stop_fixture(bool calls_end = true)
    {
        shutdown_settings settings;
        settings.balancer_lag_ = milliseconds(5.0);
        settings.deadline_ = deadline;
        stop_actions actions;
        actions.fail_readiness_ = [this](milliseconds left)
        {
            BOOST_TEST((left == deadline));
            steps_.emplace_back("unready");
        };
        actions.leave_fleet_ = record_step("leave");
        actions.stop_accepting_ = record_step("close");
        actions.finish_calls_ = [calls_end](milliseconds left)
        {
            return calls_end && left.count() > 0.0;
        };
        actions.has_operator_work_ = [this]
        {
            return remaining_work_checks_ > 0 && remaining_work_checks_-- > 0;
        };
        actions.exit_process_ = [this]
        {
            exit_code_ = stop_->exit_code();
            context_.stop();
        };
        stop_.emplace(context_, settings, std::move(actions));
    }

    std::function<void()> record_step(const char* what)
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
    int remaining_work_checks_ = 0;
    std::optional<int> exit_code_;
    std::optional<graceful_stop> stop_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(graceful_stop_suite)

BOOST_AUTO_TEST_CASE(readiness_fails_before_accepting_stops)
{
    graceful_stop_fixture vm;
    BOOST_TEST((vm.stop_->phase() == shutdown_phase::serving));
    vm.run();
    const std::vector<std::string> expected{"unready", "leave", "close"};
    BOOST_TEST(vm.steps_ == expected, boost::test_tools::per_element());
    BOOST_TEST_REQUIRE(vm.exit_code_.has_value());
    BOOST_TEST(*vm.exit_code_ == 0);
}

BOOST_AUTO_TEST_CASE(unfinished_calls_give_exit_code_one)
{
    graceful_stop_fixture vm(false);
    vm.run();
    BOOST_TEST_REQUIRE(vm.exit_code_.has_value());
    BOOST_TEST(*vm.exit_code_ == 1);
}

BOOST_AUTO_TEST_CASE(exit_waits_for_operator_work)
{
    graceful_stop_fixture vm;
    vm.remaining_work_checks_ = 2;
    vm.run();
    BOOST_TEST(vm.remaining_work_checks_ == 0);
    BOOST_TEST(vm.exit_code_.has_value());
}

BOOST_AUTO_TEST_CASE(second_stop_request_has_no_effect)
{
    graceful_stop_fixture vm;
    vm.stop_->request();
    vm.run();
    BOOST_TEST(vm.steps_.size() == 3U);
}

BOOST_AUTO_TEST_SUITE_END()
