// A request path that hedges calls between two targets, both of which have said
// that they are slowed. The target that is not called says that it is fast when
// it is asked for its load.

#ifndef AV_PROXY_TESTS_HEDGING_FIXTURE_HPP
#define AV_PROXY_TESTS_HEDGING_FIXTURE_HPP

#include "permits_fixture.hpp"

namespace anvilturn::test
{

inline const std::string slow_load = "Anvilturn-Load: slow\r\n";
inline const std::string fast_load = "Anvilturn-Load: fast\r\n";
// Matches the rule for idempotent calls.
inline const std::string idempotent_path = "/kits/availability";
// How long the first calls take, from which the request path learns the time of
// a call. At a slowed target it expects 20 times as much.
constexpr std::chrono::milliseconds usual_time(30);
// Well within the time for which a call at a slowed target may be hedged.
constexpr std::chrono::milliseconds time_to_hedge(250);

inline std::optional<load_report> parse_test_load(std::string_view value)
{
    load_report report;
    report.busy_slots_ = 1;
    report.slots_ = 6;
    report.slowdown_ = value == "slow" ? 20.0 : 1.0;
    return report;
}

inline request_path_settings hedging_settings(double ratio = 1.0)
{
    auto settings = single_thread_settings();
    settings.hedge_ratio_ = ratio;
    settings.buffered_response_bytes_ = 64 * 1024;
    settings.dialect_.parse_load_ = parse_test_load;
    return settings;
}

inline release hedging_release(const scripted_target& a,
                               const scripted_target& b)
{
    auto value = make_release({a.address(), b.address()});
    auto& service = value.services_["kits"];
    service.health_path_ = "/healthz";
    service.retry_ratio_ = 1.0;
    service.retry_burst_ = 1.5;
    value.rules_["look-ups"].max_attempts_ = 2;
    return value;
}

inline bool has_input(test_connection& connection)
{
    pollfd waiting{connection.socket().native_handle(), POLLIN, 0};
    return ::poll(&waiting, 1, 0) > 0;
}

// Returns whether a request has arrived that is not a load query. The query for
// a hedge may arrive at one target before the test has seen the call at the
// other.
inline bool has_call(test_connection& connection)
{
    const std::string query = "GET /healthz ";
    std::string start(query.size(), '\0');
    const auto count = ::recv(connection.socket().native_handle(),
                              start.data(),
                              start.size(),
                              MSG_PEEK | MSG_DONTWAIT);
    return count == static_cast<ssize_t>(query.size()) && start != query;
}

// Returns whether the other side closes or resets the connection without
// sending anything more.
inline bool ends(test_connection& connection)
{
    return connection.read_to_end().empty();
}

class hedging_world
{
public:
    using release_change = std::function<void(release&)>;

    explicit hedging_world(
        const release_change& change = [](release&) {},
        const request_path_settings& settings = hedging_settings())
        : vm_(changed_release(change), settings)
        , caller_(vm_.call())
    {
        learn();
    }

    // Starts a call and waits until it has arrived at its first target.
    void start_call(const std::string& text = get(idempotent_path))
    {
        caller_.send(text);
        wait_until(
            [this]
            {
                return has_call(*connections_[0]) || has_call(*connections_[1]);
            });
        first_index_ = has_call(*connections_[0]) ? 0 : 1;
        first().read_header();
    }

    // Answers load queries until the call has arrived at its second target.
    // Returns the header of the call.
    std::string await_hedge()
    {
        for (;;)
        {
            wait_until(
                [this]
                {
                    return has_input(second());
                });
            auto header = second().read_header();
            if (!contains(header, "GET /healthz "))
            {
                return header;
            }
            second().send(ok("", fast_load));
        }
    }

    // Returns whether the call does not arrive at a second target in time,
    // although that one says it is fast.
    bool is_never_hedged(const std::string& load = fast_load)
    {
        const auto until = std::chrono::steady_clock::now() + time_to_hedge;
        while (std::chrono::steady_clock::now() < until)
        {
            if (has_input(second()))
            {
                if (!contains(second().read_header(), "GET /healthz "))
                {
                    return false;
                }
                ++load_queries_;
                second().send(ok("", load));
            }
            std::this_thread::yield();
        }
        return true;
    }

    // Starts a call and waits until it runs at both targets.
    void start_hedged_call()
    {
        start_call();
        BOOST_TEST(contains(await_hedge(), "GET " + idempotent_path + " "));
    }

    test_connection& first()
    {
        return *connections_[first_index_];
    }

    test_connection& second()
    {
        return *connections_[1 - first_index_];
    }

    scripted_target& first_target()
    {
        return targets_[first_index_];
    }

    scripted_target& target(int index)
    {
        return targets_[index];
    }

    test_connection& caller()
    {
        return caller_;
    }

    relay& vm()
    {
        return vm_;
    }

    // Publishes a newer release that says that the second target is cold.
    void make_second_target_cold()
    {
        const auto name = first_index_ == 0 ? "kits-2" : "kits-1";
        ++release_.version_;
        release_.targets_[name].cold_for_ = milliseconds(60000.0);
        vm_.path().publish(release_);
    }

    int load_queries() const
    {
        return load_queries_;
    }

    request_path_statistics statistics()
    {
        return vm_.path().statistics();
    }

    // Reads a response with its body. Returns its status line's code, its
    // outcome and its body.
    std::string result()
    {
        const auto header = caller_.read_header();
        const auto length = field_of(header, "Content-Length");
        BOOST_TEST_REQUIRE(!length.empty());
        return header.substr(9, 4) + outcome_of(header) + " " +
               caller_.read_bytes(std::stoul(length));
    }

private:
    const release& changed_release(const release_change& change)
    {
        release_ = hedging_release(targets_[0], targets_[1]);
        change(release_);
        return release_;
    }

    // Lets each target serve a call and say that it is slowed.
    void learn()
    {
        test_connection callers[] = {vm_.call(), vm_.call()};
        for (auto& caller : callers)
        {
            caller.send(request(idempotent_path));
        }
        for (int index = 0; index < 2; ++index)
        {
            connections_[index] =
                std::make_unique<test_connection>(targets_[index].accept());
            connections_[index]->read_header();
        }
        std::this_thread::sleep_for(usual_time);
        for (auto& connection : connections_)
        {
            connection->send(ok("", slow_load));
        }
        for (auto& caller : callers)
        {
            BOOST_TEST(contains(caller.read_header(), "200 OK"));
        }
    }

    scripted_target targets_[2];
    release release_;
    relay vm_;
    test_connection caller_;
    std::unique_ptr<test_connection> connections_[2];
    int first_index_ = 0;
    int load_queries_ = 0;
};

} // namespace anvilturn::test

#endif
