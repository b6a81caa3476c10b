#include <av_daemon/target_return_monitor.hpp>
#include <av_net/tests/fixed_response_server.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include <optional>

using namespace anvilturn;

namespace
{

constexpr milliseconds step{900.0};

} // namespace

BOOST_AUTO_TEST_SUITE(target_return_monitors)

// Guards against a good check that counts as newer than a sign of draining that
// the target gave between the check and the arrival of its response.
BOOST_AUTO_TEST_CASE(age_of_the_notice_counts_from_the_sending_of_the_check)
{
    constexpr int max_checks = 20;
    constexpr int readings_per_check = 2;
    boost::asio::io_context context;
    testing::fixed_response_server server(
        context,
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
        testing::server_behavior::close);
    // The time advances with each reading: when a check is sent, and when its
    // response has arrived.
    milliseconds now{0.0};
    int readings = 0;
    std::optional<target_notice> returned;
    target_return_monitor monitor(
        context,
        "vm-1",
        [&now, &readings]
        {
            ++readings;
            return now = now + step;
        },
        [&returned](const target_notice& notice)
        {
            returned = notice;
        });
    fleet_view fleet;
    fleet.self_.name_ = "vm-1";
    fleet.members_.push_back(fleet.self_);
    target_spec target;
    target.name_ = "kits-1";
    target.address_ = server.address();
    for (int check = 1; check <= max_checks && !returned; ++check)
    {
        now = now + milliseconds(3000.0);
        monitor.check({target}, fleet);
        while (readings < check * readings_per_check)
        {
            context.run_one();
        }
    }
    BOOST_TEST_REQUIRE(returned.has_value());
    BOOST_TEST((returned->kind_ == target_notice_kind::serving));
    BOOST_TEST(returned->age_.count() == step.count());
}

BOOST_AUTO_TEST_SUITE_END()
