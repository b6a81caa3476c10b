#include "relay_fixture.hpp"

#include <array>
#include <atomic>
#include <thread>

namespace anvilturn::test
{
namespace
{

// A target that echoes the path of each call as the response body, with one
// thread for each connection.
class echoing_target
{
public:
    echoing_target()
        : thread_(
              [this]
              {
                  serve();
              })
    {
    }

    ~echoing_target()
    {
        stopping_ = true;
        boost::asio::io_context context;
        tcp::socket last(context);
        boost::system::error_code ignored;
        last.connect(end_, ignored);
        thread_.join();
        for (auto& connection : connections_)
        {
            connection.join();
        }
    }

    std::string address() const
    {
        return target_.address();
    }

    int served() const
    {
        return served_;
    }

private:
    void serve()
    {
        for (;;)
        {
            auto connection =
                std::make_shared<test_connection>(target_.accept());
            if (stopping_)
            {
                return;
            }
            connections_.emplace_back(
                [this, connection]
                {
                    serve_connection(*connection);
                });
        }
    }

    void serve_connection(test_connection& connection)
    {
        for (;;)
        {
            const auto header = connection.read_header();
            if (header.empty())
            {
                return;
            }
            const auto from = header.find(' ') + 1;
            ++served_;
            connection.send(
                ok(header.substr(from, header.find(' ', from) - from)));
        }
    }

    scripted_target target_;
    tcp::endpoint end_{target_.end()};
    std::atomic<bool> stopping_{false};
    std::atomic<int> served_{0};
    std::vector<std::thread> connections_;
    std::thread thread_;
};

// Sends calls one at a time. Returns the number of responses that are not
// `answered` or belong to another call.
int count_wrong_responses(test_connection& caller, int number, int call_count)
{
    int wrong = 0;
    for (int i = 0; i < call_count; ++i)
    {
        const auto path =
            "/kits/" + std::to_string(number) + "/" + std::to_string(i);
        caller.send(get(path));
        const bool answered = outcome_of(caller.read_header()) == "answered";
        wrong += answered && caller.read_bytes(path.size()) == path ? 0 : 1;
    }
    return wrong;
}

} // namespace

BOOST_AUTO_TEST_SUITE(several_threads)

// There are more callers than slots, so that calls wait in the queues of all
// threads and responses on one thread wake calls on another.
BOOST_AUTO_TEST_CASE(each_caller_gets_its_own_response)
{
    constexpr int caller_count = 12;
    constexpr int call_count = 200;
    std::vector<std::unique_ptr<echoing_target>> targets;
    std::vector<std::string> addresses;
    for (int i = 0; i < 2; ++i)
    {
        targets.push_back(std::make_unique<echoing_target>());
        addresses.push_back(targets.back()->address());
    }
    auto value = make_release(addresses);
    for (auto& target : value.targets_)
    {
        target.second.slots_ = 2;
    }
    auto settings = single_thread_settings();
    settings.threads_ = 4;
    {
        relay vm(value, settings);
        std::vector<std::future<int>> wrong;
        for (int i = 0; i < caller_count; ++i)
        {
            auto caller = std::make_shared<test_connection>(vm.call());
            wrong.push_back(std::async(std::launch::async,
                                       [caller, i]
                                       {
                                           return count_wrong_responses(
                                               *caller, i, call_count);
                                       }));
        }
        for (auto& one : wrong)
        {
            BOOST_TEST(one.get() == 0);
        }
        // Publishes the release again once all callers have their responses.
        value.version_ = 2;
        vm.path().publish(value);
        const auto statistics = vm.path().statistics();
        BOOST_TEST(statistics.answered_ ==
                   std::uint64_t{caller_count} * call_count);
        BOOST_TEST(vm.path().finish(milliseconds(20000.0)));
    }
    BOOST_TEST(targets[0]->served() + targets[1]->served() ==
               caller_count * call_count);
}

// Publishing releases while calls run neither loses nor duplicates a call.
BOOST_AUTO_TEST_CASE(releases_change_while_calls_run)
{
    constexpr int call_count = 300;
    echoing_target target;
    auto value = make_release({target.address()});
    auto settings = single_thread_settings();
    settings.threads_ = 3;
    {
        relay vm(value, settings);
        std::atomic<bool> done{false};
        std::thread publisher(
            [&]
            {
                while (!done)
                {
                    ++value.version_;
                    vm.path().publish(value);
                    vm.path().publish(make_fleet("vm-1"));
                    std::this_thread::yield();
                }
            });
        auto first = std::make_shared<test_connection>(vm.call());
        auto second = std::make_shared<test_connection>(vm.call());
        auto other =
            std::async(std::launch::async,
                       [second]
                       {
                           return count_wrong_responses(*second, 2, call_count);
                       });
        BOOST_TEST(count_wrong_responses(*first, 1, call_count) == 0);
        BOOST_TEST(other.get() == 0);
        done = true;
        publisher.join();
    }
    BOOST_TEST(target.served() == 2 * call_count);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace anvilturn::test
