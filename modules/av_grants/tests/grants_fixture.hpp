#ifndef AV_GRANTS_TESTS_GRANTS_FIXTURE_HPP
#define AV_GRANTS_TESTS_GRANTS_FIXTURE_HPP

#include <av_core/monotonic_clock.hpp>
#include <av_grants/grant_codec.hpp>
#include <av_grants/grant_server.hpp>
#include <av_grants/permit_client.hpp>
#include <av_net/duration.hpp>
#include <av_net/endpoint.hpp>
#include <av_net/message_frame.hpp>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

namespace anvilturn
{

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

inline const std::string any_port = "127.0.36.1:0";
inline const limit_key school{limit_kind::account, "school"};

// Grants many permits a few milliseconds after the start of a grantor.
inline fleet_limit ample_limit()
{
    return {
        10000.0, 1000.0, milliseconds(5000.0), 60000.0, milliseconds(500.0)};
}

// Grants no permit while a test runs.
inline fleet_limit tiny_limit()
{
    return {0.001, 1.0, milliseconds(5000.0), 2.0, milliseconds(500.0)};
}

using limit_function =
    std::function<std::optional<fleet_limit>(const limit_key&)>;

inline limit_function always(const std::optional<fleet_limit>& limit)
{
    return [limit](const limit_key&)
    {
        return limit;
    };
}

// Accepts connections, and replies to queries as its function says; nothing
// means no reply.
class scripted_grantor
{
public:
    using reply_function =
        std::function<std::optional<permit_reply>(const permit_query&)>;

    scripted_grantor(asio::io_context& context, reply_function reply)
        : acceptor_(context, *parse_endpoint(any_port))
        , reply_(std::move(reply))
    {
        accept();
    }

    std::string address() const
    {
        std::ostringstream text;
        text << acceptor_.local_endpoint();
        return text.str();
    }

    // Closes the connections after the queries instead of replying.
    void close_after_query()
    {
        closes_ = true;
    }

    const std::vector<permit_query>& queries() const
    {
        return queries_;
    }

    // Sends a reply on the newest connection.
    void send(const permit_reply& reply)
    {
        asio::write(*connections_.back(), asio::buffer(write_reply(reply)));
    }

private:
    void accept()
    {
        acceptor_.async_accept(
            [this](const boost::system::error_code& error, tcp::socket socket)
            {
                if (error)
                {
                    return;
                }
                connections_.push_back(
                    std::make_shared<tcp::socket>(std::move(socket)));
                read(connections_.back());
                accept();
            });
    }

    void read(const std::shared_ptr<tcp::socket>& socket)
    {
        asio::async_read(
            *socket,
            asio::buffer(header_),
            [this, socket](const boost::system::error_code& error, std::size_t)
            {
                if (!error)
                {
                    on_header(socket);
                }
            });
    }

    void on_header(const std::shared_ptr<tcp::socket>& socket)
    {
        body_.resize(frame_length({header_.data(), header_.size()}));
        asio::read(*socket, asio::buffer(body_));
        const auto query = read_query(body_);
        BOOST_REQUIRE(query.ok());
        queries_.push_back(*query);
        if (closes_)
        {
            socket->close();
            return;
        }
        if (const auto reply = reply_(*query))
        {
            asio::write(*socket, asio::buffer(write_reply(*reply)));
        }
        read(socket);
    }

    tcp::acceptor acceptor_;
    reply_function reply_;
    bool closes_ = false;
    std::vector<std::shared_ptr<tcp::socket>> connections_;
    std::array<char, frame_header_bytes> header_{};
    std::string body_;
    std::vector<permit_query> queries_;
};

inline std::optional<permit_reply> no_reply(const permit_query&)
{
    return std::nullopt;
}

// Returns a reply with the same grant for each request.
inline permit_reply grant_each(const permit_query& query,
                               const permit_grant& grant)
{
    permit_reply reply;
    reply.id_ = query.id_;
    for (std::size_t i = 0; i < query.requests_.size(); ++i)
    {
        reply.entries_.push_back({true, grant});
    }
    return reply;
}

// One event loop with grantors and a client.
struct grants_fixture
{
    asio::io_context context_;
    // Keeps run_for from returning early if nothing is to be done.
    asio::executor_work_guard<asio::io_context::executor_type> work_ =
        asio::make_work_guard(context_);
    std::vector<std::unique_ptr<grant_server>> servers_;
    std::shared_ptr<permit_counters> counters_ =
        std::make_shared<permit_counters>();
    std::unique_ptr<permit_client> client_;

    std::string add_server(limit_function limit_of,
                           const std::string& address = any_port)
    {
        grant_server_options options;
        options.address_ = address;
        servers_.push_back(std::make_unique<grant_server>(
            context_, options, std::move(limit_of)));
        const auto status = servers_.back()->start();
        BOOST_REQUIRE(status.ok());
        // A grantor begins without permits.
        run_for(milliseconds(20.0));
        return servers_.back()->address();
    }

    void start_client(std::vector<std::string> grantors,
                      const std::string& name = "edge-1")
    {
        client_ = std::make_unique<permit_client>(
            context_,
            permit_client_options{name, std::move(grantors), counters_});
    }

    void run_for(milliseconds time)
    {
        context_.restart();
        context_.run_for(to_duration(time));
    }

    template <typename Condition>
    bool run_until(Condition is_true,
                   milliseconds time_limit = milliseconds(5000.0))
    {
        const auto end = monotonic_now() + time_limit;
        while (!is_true() && monotonic_now() < end)
        {
            context_.restart();
            context_.run_one_for(std::chrono::milliseconds(5));
        }
        return is_true();
    }

    // Acquires a permit, and checks that there is exactly one answer.
    permit_answer acquire(const limit_key& key = school)
    {
        auto answers = std::make_shared<std::vector<permit_answer>>();
        client_->acquire(key,
                         [answers](const permit_answer& answer)
                         {
                             answers->push_back(answer);
                         });
        BOOST_REQUIRE(run_until(
            [&answers]
            {
                return !answers->empty();
            }));
        BOOST_TEST(answers->size() == 1U);
        return answers->front();
    }
};

inline bool is_granted(const permit_answer& answer)
{
    return answer.result_ == permit_result::granted;
}

} // namespace anvilturn

#endif
