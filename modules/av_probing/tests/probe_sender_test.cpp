#include <av_probing/probe_sender.hpp>

#include <av_core/monotonic_clock.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <chrono>
#include <memory>
#include <optional>
#include <string>

using namespace anvilturn;
using boost::asio::ip::tcp;

namespace
{

// Maximum wait of a test for an event that must occur.
constexpr std::chrono::seconds wait_limit(20);

// A target on loopback that sends the same response to every request.
class http_test_target
{
public:
    http_test_target(boost::asio::io_context& context, std::string response)
        : acceptor_(
              context,
              tcp::endpoint(boost::asio::ip::make_address_v4("127.0.0.1"), 0))
        , response_(std::move(response))
    {
        accept();
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    }

    int requests() const
    {
        return requests_;
    }

private:
    void accept()
    {
        acceptor_.async_accept(
            [this](boost::system::error_code error, tcp::socket socket)
            {
                if (!error)
                {
                    socket_.emplace(std::move(socket));
                    read();
                }
            });
    }

    void read()
    {
        boost::asio::async_read_until(
            *socket_,
            boost::asio::dynamic_buffer(request_),
            "\r\n\r\n",
            [this](boost::system::error_code error, std::size_t size)
            {
                if (!error)
                {
                    first_line_ = request_.substr(0, request_.find("\r\n"));
                    request_.erase(0, size);
                    ++requests_;
                    boost::asio::write(*socket_,
                                       boost::asio::buffer(response_));
                    read();
                }
            });
    }

public:
    std::string first_line_;

private:
    tcp::acceptor acceptor_;
    std::string response_;
    std::optional<tcp::socket> socket_;
    std::string request_;
    int requests_ = 0;
};

// Returns leases of all shards that are held long before and after the test, by
// the clock that the sender reads.
probe_lease_state held_leases()
{
    const auto now = monotonic_now();
    probe_lease_state leases;
    for (auto& lease : leases.leases_)
    {
        lease.held_since_ = now - milliseconds(1e6);
        lease.valid_until_ = now + milliseconds(1e6);
    }
    return leases;
}

struct sender_fixture
{
    boost::asio::io_context context_;
    std::optional<target_notice> result_;
    probe_sender sender_{context_,
                         "vm-1",
                         {[this](const target_notice& notice)
                          {
                              result_ = notice;
                          },
                          [] {}}};

    template <typename Condition>
    bool run_until(Condition condition)
    {
        const auto end = std::chrono::steady_clock::now() + wait_limit;
        while (!condition() && std::chrono::steady_clock::now() < end)
        {
            context_.run_one_until(end);
        }
        return condition();
    }
};

const char* const load_response =
    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"
    "Anvilturn-Load: busy=4, queued=1, slots=6\r\n"
    "\r\n";

} // namespace

BOOST_FIXTURE_TEST_SUITE(probe_sender_suite, sender_fixture)

BOOST_AUTO_TEST_CASE(a_probe_is_sent_and_its_result_reported)
{
    http_test_target target(context_, load_response);
    sender_.set_targets({{"t-1", target.address(), 0.01}});
    sender_.set_leases(held_leases());
    BOOST_TEST(run_until(
        [&]
        {
            return result_.has_value();
        }));
    BOOST_TEST(target.first_line_ == "GET /probe HTTP/1.1");
    BOOST_TEST(result_->target_ == "t-1");
    BOOST_TEST(result_->source_vm_ == "vm-1");
    BOOST_TEST(result_->load_.busy_slots_ == 4);
    BOOST_TEST(result_->load_.queued_calls_ == 1);
    BOOST_TEST(sender_.sent() == 1u);
}

// The probe of the second target shows that the sender has checked both
// targets, so the first one would have been probed too if its budget allowed
// it.
BOOST_AUTO_TEST_CASE(no_probe_is_sent_without_budget)
{
    http_test_target forbidden(context_, load_response);
    http_test_target allowed(context_, load_response);
    sender_.set_targets(
        {{"t-1", forbidden.address(), 0.0}, {"t-2", allowed.address(), 0.01}});
    sender_.set_leases(held_leases());
    BOOST_TEST(run_until(
        [&]
        {
            return result_.has_value();
        }));
    BOOST_TEST(forbidden.requests() == 0);
    BOOST_TEST(allowed.requests() == 1);
}

BOOST_AUTO_TEST_CASE(a_connection_is_reused_for_the_next_probe)
{
    http_test_target target(context_, load_response);
    sender_.set_targets({{"t-1", target.address(), 20.0}});
    sender_.set_leases(held_leases());
    BOOST_TEST(run_until(
        [&]
        {
            return target.requests() >= 3;
        }));
}

BOOST_AUTO_TEST_CASE(a_response_without_load_gives_no_result)
{
    http_test_target target_without_load(
        context_, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    sender_.set_targets({{"t-1", target_without_load.address(), 20.0}});
    sender_.set_leases(held_leases());
    BOOST_TEST(run_until(
        [&]
        {
            return target_without_load.requests() >= 2;
        }));
    BOOST_TEST(!result_.has_value());
}

BOOST_AUTO_TEST_SUITE_END()
