// Runs a request path between a caller and targets that the test controls step
// by step. Each wait is for an event of the other side; the time limit only
// ends a test that has already failed.

#ifndef AV_PROXY_TESTS_RELAY_FIXTURE_HPP
#define AV_PROXY_TESTS_RELAY_FIXTURE_HPP

#include <av_proxy/av_proxy.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <poll.h>
#include <sys/socket.h>
#include <sys/time.h>

#include <chrono>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace anvilturn::test
{

using tcp = boost::asio::ip::tcp;

constexpr const char* loopback = "127.0.30.1";
constexpr int watchdog_seconds = 20;

// The test's side of a connection to the request path.
class test_connection
{
public:
    explicit test_connection(tcp::socket socket)
        : socket_(std::move(socket))
    {
        timeval limit{watchdog_seconds, 0};
        setsockopt(socket_.native_handle(),
                   SOL_SOCKET,
                   SO_RCVTIMEO,
                   &limit,
                   sizeof(limit));
    }

    void send(const std::string& bytes)
    {
        boost::asio::write(socket_, boost::asio::buffer(bytes));
    }

    // Returns the next message header with its empty line; empty at the end of
    // the connection.
    std::string read_header()
    {
        return read_to("\r\n\r\n");
    }

    // Returns the next line, such as one of a chunked body.
    std::string read_line()
    {
        return read_to("\r\n");
    }

    std::string read_bytes(std::size_t count)
    {
        boost::system::error_code error;
        while (input_.size() < count && !error)
        {
            read_more(error);
        }
        auto result = input_.substr(0, count);
        input_.erase(0, result.size());
        return result;
    }

    // Returns all bytes up to the point where the other side closes or resets
    // the connection.
    std::string read_to_end()
    {
        boost::system::error_code error;
        while (!error)
        {
            read_more(error);
        }
        end_ = error;
        return std::exchange(input_, {});
    }

    // Returns how the connection ended; no error while it has not.
    boost::system::error_code end() const
    {
        return end_;
    }

    void close()
    {
        boost::system::error_code ignored;
        socket_.close(ignored);
    }

    // Closes the connection with a reset.
    void reset()
    {
        socket_.set_option(boost::asio::socket_base::linger(true, 0));
        close();
    }

    tcp::socket& socket()
    {
        return socket_;
    }

private:
    void read_more(boost::system::error_code& error)
    {
        char bytes[4096];
        const auto count = socket_.read_some(boost::asio::buffer(bytes), error);
        input_.append(bytes, count);
    }

    std::string read_to(const std::string& mark)
    {
        boost::system::error_code error;
        auto at = input_.find(mark);
        while (at == std::string::npos && !error)
        {
            read_more(error);
            at = input_.find(mark);
        }
        end_ = error;
        if (at == std::string::npos)
        {
            return std::exchange(input_, {});
        }
        auto result = input_.substr(0, at + mark.size());
        input_.erase(0, result.size());
        return result;
    }

    tcp::socket socket_;
    std::string input_;
    boost::system::error_code end_;
};

// A target whose connections and responses the test controls.
class scripted_target
{
public:
    explicit scripted_target(const std::string& address = loopback)
        : acceptor_(context_,
                    tcp::endpoint(boost::asio::ip::make_address(address), 0))
    {
        timeval limit{watchdog_seconds, 0};
        setsockopt(acceptor_.native_handle(),
                   SOL_SOCKET,
                   SO_RCVTIMEO,
                   &limit,
                   sizeof(limit));
    }

    std::string address() const
    {
        const auto end = acceptor_.local_endpoint();
        return end.address().to_string() + ":" + std::to_string(end.port());
    }

    tcp::endpoint end() const
    {
        return acceptor_.local_endpoint();
    }

    // Limits the bytes that connections accepted from now on take unread.
    void set_receive_buffer(int bytes)
    {
        acceptor_.set_option(
            boost::asio::socket_base::receive_buffer_size(bytes));
    }

    test_connection accept()
    {
        return test_connection(acceptor_.accept());
    }

    // Returns whether a connection waits to be accepted.
    bool has_pending_connection()
    {
        pollfd waiting{acceptor_.native_handle(), POLLIN, 0};
        return ::poll(&waiting, 1, 0) > 0;
    }

    // Stops listening, so that connecting fails.
    void stop_listening()
    {
        acceptor_.close();
    }

private:
    boost::asio::io_context context_;
    tcp::acceptor acceptor_;
};

// Returns a release with one service "kits", and targets at the addresses.
inline release make_release(const std::vector<std::string>& addresses,
                            const std::string& policy = "least_load")
{
    release value;
    value.version_ = 1;
    service_spec service;
    service.name_ = "kits";
    service.choice_policy_ = policy;
    value.services_["kits"] = service;
    int number = 0;
    for (const auto& address : addresses)
    {
        target_spec target;
        target.name_ = "kits-" + std::to_string(++number);
        target.service_ = "kits";
        target.address_ = address;
        target.failure_domain_ = "a";
        value.targets_[target.name_] = target;
    }
    rule_spec rule;
    rule.name_ = "kits";
    rule.path_prefix_ = "/kits";
    rule.service_ = "kits";
    value.rules_["kits"] = rule;
    rule.name_ = "look-ups";
    rule.path_prefix_ = "/kits/availability";
    rule.idempotent_ = true;
    value.rules_["look-ups"] = rule;
    return value;
}

inline fleet_view make_fleet(const std::string& local_name)
{
    fleet_view fleet;
    fleet.self_.name_ = local_name;
    fleet.self_.failure_domain_ = "a";
    fleet.members_.push_back(fleet.self_);
    return fleet;
}

// Returns settings for one thread, so that the order of events is determined.
inline request_path_settings
single_thread_settings(const std::string& vm_name = "vm-1")
{
    request_path_settings settings;
    settings.vm_name_ = vm_name;
    settings.threads_ = 1;
    return settings;
}

// Returns settings with the header names of a made-up platform.
inline request_path_settings custom_dialect_settings()
{
    auto settings = single_thread_settings();
    settings.buffered_response_bytes_ = 64 * 1024;
    auto& dialect = settings.dialect_;
    dialect.call_id_ = "X-Call";
    dialect.expected_target_ = "X-Meant-For";
    dialect.signature_ = "X-Signed";
    dialect.internal_field_prefix_.clear();
    dialect.responses_repeat_call_id_ = true;
    dialect.allows_unframed_responses_ = true;
    return settings;
}

// The request path under test.
class relay
{
public:
    // A valid after_notice blocks the thread that gives a notice until it is
    // ready, so that events can be made to wait for each other.
    explicit relay(const release& value,
                   request_path_settings settings = single_thread_settings(),
                   std::shared_future<void> after_notice = {})
    {
        settings.deployment_ = "hanoi";
        settings.callers_address_ = std::string(loopback) + ":0";
        settings.forward_address_ = std::string(loopback) + ":0";
        auto built = request_path_builder()
                         .settings(settings)
                         .notice_listener(
                             [this, after_notice = std::move(after_notice)](
                                 const target_notice& notice)
                             {
                                 notices_.set_value(notice);
                                 if (after_notice.valid())
                                 {
                                     after_notice.wait();
                                 }
                             })
                         .build();
        BOOST_TEST_REQUIRE(built.ok());
        path_ = *std::move(built);
        path_->publish(make_fleet(settings.vm_name_));
        path_->publish(value);
        path_->set_ready(true);
        BOOST_TEST_REQUIRE(path_->start().ok());
    }

    request_path& path()
    {
        return *path_;
    }

    // Destroys the request path, as the exit of its process does.
    void end()
    {
        path_.reset();
    }

    test_connection call()
    {
        return connect(path_->callers_address());
    }

    test_connection connect_as_vm()
    {
        return connect(path_->forward_address());
    }

    // Waits for the first notice of the request path and returns it.
    target_notice notice()
    {
        auto future = notices_.get_future();
        BOOST_TEST_REQUIRE(
            (future.wait_for(std::chrono::seconds(watchdog_seconds)) ==
             std::future_status::ready));
        return future.get();
    }

private:
    test_connection connect(const std::string& address)
    {
        const auto colon = address.rfind(':');
        tcp::socket socket(context_);
        socket.connect(tcp::endpoint(
            boost::asio::ip::make_address(address.substr(0, colon)),
            static_cast<unsigned short>(std::stoi(address.substr(colon + 1)))));
        return test_connection(std::move(socket));
    }

    boost::asio::io_context context_;
    std::promise<target_notice> notices_;
    std::unique_ptr<request_path> path_;
};

// Polls for a condition that no event on a connection shows.
template <typename Predicate>
void wait_until(Predicate predicate)
{
    const auto limit = std::chrono::steady_clock::now() +
                       std::chrono::seconds(watchdog_seconds);
    while (!predicate())
    {
        BOOST_TEST_REQUIRE((std::chrono::steady_clock::now() < limit));
        std::this_thread::yield();
    }
}

// Waits for a connection to one of the targets. Returns that target.
inline scripted_target& first_connected(scripted_target& a, scripted_target& b)
{
    wait_until(
        [&]
        {
            return a.has_pending_connection() || b.has_pending_connection();
        });
    return a.has_pending_connection() ? a : b;
}

inline bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

// Returns the outcome and, unless answered, the reason from the header of a
// response.
inline std::string outcome_of(const std::string& header)
{
    const auto value = [&header](const std::string& name) -> std::string
    {
        const auto at = header.find("\r\n" + name + ": ");
        if (at == std::string::npos)
        {
            return "";
        }
        const auto from = at + name.size() + 4;
        return header.substr(from, header.find("\r\n", from) - from);
    };
    const auto reason = value("Anvilturn-Reason");
    const auto outcome = value("Anvilturn-Outcome");
    return reason.empty() ? outcome : outcome + " " + reason;
}

inline std::string get(const std::string& path)
{
    return "GET " + path + " HTTP/1.1\r\nHost: kits.example\r\n\r\n";
}

inline std::string post(const std::string& path, const std::string& body)
{
    return "POST " + path +
           " HTTP/1.1\r\nHost: kits.example\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string ok(const std::string& body, const std::string& fields = "")
{
    return "HTTP/1.1 200 OK\r\n" + fields +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// A call that is running at a target.
struct call_at_target
{
    test_connection caller_;
    test_connection connection_;
    std::string request_;
};

inline call_at_target start_call_at_target(relay& vm, scripted_target& target)
{
    auto caller = vm.call();
    caller.send(get("/kits/first"));
    auto connection = target.accept();
    auto request = connection.read_header();
    return {std::move(caller), std::move(connection), std::move(request)};
}

} // namespace anvilturn::test

#endif
