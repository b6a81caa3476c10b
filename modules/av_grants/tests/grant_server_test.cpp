#include "grants_fixture.hpp"

namespace anvilturn
{
namespace
{

BOOST_FIXTURE_TEST_SUITE(grant_server_test, grants_fixture)

// Connections without end would exhaust the grantor's descriptors.
BOOST_AUTO_TEST_CASE(a_server_closes_connections_beyond_its_limit)
{
    grant_server_options options;
    options.address_ = any_port;
    options.max_connections_ = 2;
    grant_server server(context_, options, always(ample_limit()));
    BOOST_REQUIRE(server.start().ok());
    std::vector<tcp::socket> sockets;
    for (int i = 0; i < 5; ++i)
    {
        sockets.emplace_back(context_);
        sockets.back().connect(*parse_endpoint(server.address()));
    }
    run_for(milliseconds(50.0));
    BOOST_TEST(server.statistics().connections_ == 2U);
    sockets.clear();
    BOOST_TEST(run_until(
        [&server]
        {
            return server.statistics().connections_ == 0U;
        }));
}

// Connections with messages that are too long or not valid must be closed
// without harm to others.
BOOST_AUTO_TEST_CASE(a_server_closes_connections_with_malformed_messages)
{
    const auto address = add_server(always(ample_limit()));
    start_client({address});
    const std::string too_long("\xff\xff\xff\x7f", 4);
    const std::string no_message("\x08\x00\x00\x00"
                                 "12345678",
                                 12);
    for (const auto& bytes : {too_long, no_message})
    {
        tcp::socket socket(context_);
        socket.connect(*parse_endpoint(address));
        asio::write(socket, asio::buffer(bytes));
        bool is_closed = false;
        std::array<char, 1> received{};
        asio::async_read(
            socket,
            asio::buffer(received),
            [&](const boost::system::error_code& error, std::size_t)
            {
                is_closed = static_cast<bool>(error);
            });
        BOOST_TEST(run_until(
            [&is_closed]
            {
                return is_closed;
            }));
    }
    BOOST_TEST(is_granted(acquire()));
}

// A client that does not read its replies must not take up memory, or the time
// of the others.
BOOST_AUTO_TEST_CASE(a_server_disconnects_a_client_that_does_not_read)
{
    const auto address = add_server(always(ample_limit()));
    start_client({address});
    tcp::socket socket(context_);
    socket.open(tcp::v4());
    socket.set_option(asio::socket_base::receive_buffer_size(4096));
    socket.connect(*parse_endpoint(address));
    permit_query query;
    query.requests_.resize(max_requests_per_query, {school, 1, false});
    std::string queries;
    for (int i = 0; i < 20'000; ++i)
    {
        queries += write_query(query);
    }
    bool is_ended = false;
    asio::async_write(socket,
                      asio::buffer(queries),
                      [&](const boost::system::error_code&, std::size_t)
                      {
                          is_ended = true;
                      });
    BOOST_TEST(is_granted(acquire()));
    BOOST_TEST(run_until(
        [&is_ended]
        {
            return is_ended;
        },
        milliseconds(10000.0)));
    BOOST_TEST(servers_[0]->statistics().connections_ == 1U);
    BOOST_TEST(servers_[0]->statistics().queries_ < 20'000U);
}

// The time until a permit of a very low limit is longer than a reply may have;
// the reply must be valid all the same.
BOOST_AUTO_TEST_CASE(a_server_replies_for_a_very_low_limit)
{
    auto limit = tiny_limit();
    limit.rate_per_second_ = 1e-9;
    start_client({add_server(always(limit))});
    const auto answer = acquire();
    BOOST_TEST((answer.result_ == permit_result::over_limit));
    BOOST_TEST((answer.retry_after_ <= max_grant_time));
}

// Guards against a VM that starts although it can't give the permits of its
// shares.
BOOST_AUTO_TEST_CASE(a_server_refuses_an_address_that_is_in_use)
{
    const auto address = add_server(always(ample_limit()));
    grant_server_options options;
    options.address_ = address;
    grant_server second(context_, options, always(ample_limit()));
    BOOST_TEST(!second.start().ok());
    options.address_ = "localhost:1";
    grant_server third(context_, options, always(ample_limit()));
    BOOST_TEST(!third.start().ok());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace anvilturn
