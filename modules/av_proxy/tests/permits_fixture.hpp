// A grantor and targets that run beside the request path under test.

#ifndef AV_PROXY_TESTS_PERMITS_FIXTURE_HPP
#define AV_PROXY_TESTS_PERMITS_FIXTURE_HPP

#include "relay_fixture.hpp"

#include <av_grants/grant_server.hpp>
#include <av_net/duration.hpp>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>

#include <atomic>
#include <functional>
#include <mutex>
#include <optional>

namespace anvilturn::test
{

// Grants permits on a thread of its own.
class test_grantor
{
public:
    using limit_function =
        std::function<std::optional<fleet_limit>(const limit_key&)>;

    explicit test_grantor(limit_function limit_of)
        : limit_of_(std::move(limit_of))
    {
        grant_server_options options;
        options.address_ = std::string(loopback) + ":0";
        server_ =
            std::make_unique<grant_server>(context_,
                                           options,
                                           [this](const limit_key& key)
                                           {
                                               std::lock_guard lock(mutex_);
                                               return limit_of_(key);
                                           });
        BOOST_TEST_REQUIRE(server_->start().ok());
        address_ = server_->address();
        thread_ = std::thread(
            [this]
            {
                context_.run();
            });
    }

    ~test_grantor()
    {
        context_.stop();
        thread_.join();
    }

    test_grantor(const test_grantor&) = delete;
    test_grantor& operator=(const test_grantor&) = delete;

    const std::string& address() const
    {
        return address_;
    }

    void set_limits(limit_function limit_of)
    {
        std::lock_guard lock(mutex_);
        limit_of_ = std::move(limit_of);
    }

    grant_server_statistics statistics()
    {
        std::promise<grant_server_statistics> result;
        boost::asio::post(context_,
                          [&]
                          {
                              result.set_value(server_->statistics());
                          });
        return result.get_future().get();
    }

private:
    std::mutex mutex_;
    limit_function limit_of_;
    boost::asio::io_context context_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
        work_ = boost::asio::make_work_guard(context_);
    std::unique_ptr<grant_server> server_;
    std::string address_;
    std::thread thread_;
};

// A target whose responses have the header fields that its function returns. It
// counts its calls, which have no body.
class counting_target
{
public:
    explicit counting_target(std::function<std::string()> load_fields)
        : load_fields_(std::move(load_fields))
        , acceptor_(context_,
                    tcp::endpoint(boost::asio::ip::make_address(loopback), 0))
    {
        accept();
        thread_ = std::thread(
            [this]
            {
                context_.run();
            });
    }

    ~counting_target()
    {
        context_.stop();
        thread_.join();
    }

    counting_target(const counting_target&) = delete;
    counting_target& operator=(const counting_target&) = delete;

    std::string address() const
    {
        const auto end = acceptor_.local_endpoint();
        return end.address().to_string() + ":" + std::to_string(end.port());
    }

    int calls() const
    {
        return calls_;
    }

    int load_queries() const
    {
        return load_queries_;
    }

private:
    struct session
    {
        explicit session(tcp::socket socket)
            : socket_(std::move(socket))
        {
        }

        tcp::socket socket_;
        std::string input_;
    };

    void accept()
    {
        acceptor_.async_accept(
            [this](const boost::system::error_code& error, tcp::socket socket)
            {
                if (!error)
                {
                    read(std::make_shared<session>(std::move(socket)));
                    accept();
                }
            });
    }

    void read(const std::shared_ptr<session>& from)
    {
        boost::asio::async_read_until(
            from->socket_,
            boost::asio::dynamic_buffer(from->input_),
            "\r\n\r\n",
            [this, from](const boost::system::error_code& error,
                         std::size_t length)
            {
                if (!error)
                {
                    respond(*from, from->input_.substr(0, length));
                    from->input_.erase(0, length);
                    read(from);
                }
            });
    }

    void respond(session& to, const std::string& header)
    {
        const bool is_query = header.find("GET /healthz ") == 0;
        ++(is_query ? load_queries_ : calls_);
        boost::system::error_code ignored;
        boost::asio::write(
            to.socket_,
            boost::asio::buffer(ok(is_query ? "" : "done", load_fields_())),
            ignored);
    }

    const std::function<std::string()> load_fields_;
    std::atomic<int> calls_{0};
    std::atomic<int> load_queries_{0};
    boost::asio::io_context context_;
    tcp::acceptor acceptor_;
    std::thread thread_;
};

constexpr milliseconds lease(400.0);

// Grants as many permits as any test needs, soon after the grantor's start.
inline fleet_limit ample_limit()
{
    return {10000.0, 1000.0, milliseconds(5000.0), 60000.0, lease};
}

// Grants nothing while a test runs, since a grantor begins without permits.
inline fleet_limit no_permits()
{
    return {0.001, 1.0, milliseconds(5000.0), 2.0, lease};
}

inline test_grantor::limit_function
always(const std::optional<fleet_limit>& limit)
{
    return [limit](const limit_key&)
    {
        return limit;
    };
}

inline request_path_settings
settings_with_grantors(std::vector<std::string> addresses)
{
    auto settings = single_thread_settings();
    settings.dialect_.cold_for_ = "Anvilturn-Cold-Ms";
    settings.permits_.vm_name_ = settings.vm_name_;
    settings.permits_.grantors_ = std::move(addresses);
    settings.limit_bounds_ = {milliseconds(5000.0), 0.1, 20.0, 1.5, 8.0};
    return settings;
}

inline std::string request(const std::string& path,
                           const std::string& key = "ta1",
                           const std::string& fields = "")
{
    return "GET " + path +
           " HTTP/1.1\r\nHost: kits.example\r\nAnvilturn-Api-Key: " + key +
           "\r\n" + fields + "\r\n";
}

inline std::string field_of(const std::string& header, const std::string& name)
{
    const auto start = "\r\n" + name + ": ";
    const auto at = header.find(start);
    if (at == std::string::npos)
    {
        return "";
    }
    const auto from = at + start.size();
    return header.substr(from, header.find("\r\n", from) - from);
}

// Reads a response with its body. Returns its status and outcome.
inline std::string read_result(test_connection& caller)
{
    const auto header = caller.read_header();
    const auto length = field_of(header, "Content-Length");
    BOOST_TEST_REQUIRE(!length.empty());
    caller.read_bytes(std::stoul(length));
    return header.substr(9, 4) + outcome_of(header);
}

inline std::string call_once(relay& vm, const std::string& text)
{
    auto caller = vm.call();
    caller.send(text);
    return read_result(caller);
}

inline const std::string served = "200 answered";

} // namespace anvilturn::test

#endif
