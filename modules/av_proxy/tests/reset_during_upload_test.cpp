// A target answers before it has read a long request, without a length, and the
// connection ends while the request is still being written.

#include "relay_fixture.hpp"

#include <algorithm>

namespace anvilturn::test
{
namespace
{

constexpr int small_receive_buffer = 4096;
// More than all buffers on the path take together.
constexpr std::size_t upload_bytes = std::size_t{64} * 1024 * 1024;
constexpr int stalled_after_ms = 100;
// More than the VM holds back before it answers the caller.
constexpr std::size_t relayed_bytes = 100 * 1024;
constexpr std::size_t held_bytes = 100;

const std::string response_head =
    "HTTP/1.1 200 OK\r\nX-Call: 7\r\nX-Signed: 1\r\n\r\n";

// Sends the request until nothing on the path takes more of it, so that the VM
// waits to write to the target.
void upload_until_stalled(test_connection& caller)
{
    caller.send("POST /kits HTTP/1.1\r\nHost: h\r\nX-Call: 7\r\n"
                "Content-Length: " +
                std::to_string(upload_bytes) + "\r\n\r\n");
    auto& socket = caller.socket();
    socket.non_blocking(true);
    const std::string block(65536, 'u');
    std::size_t sent = 0;
    const auto becomes_writable = [&socket]
    {
        pollfd waiting{socket.native_handle(), POLLOUT, 0};
        return ::poll(&waiting, 1, stalled_after_ms) > 0;
    };
    while (sent < upload_bytes && becomes_writable())
    {
        boost::system::error_code error;
        sent += socket.write_some(
            boost::asio::buffer(block.data(),
                                std::min(block.size(), upload_bytes - sent)),
            error);
    }
    BOOST_TEST_REQUIRE(sent < upload_bytes);
    socket.non_blocking(false);
}

struct upload_fixture
{
    upload_fixture()
        : vm_(make_release({target_.address()}), custom_dialect_settings())
        , caller_(vm_.call())
    {
        target_.set_receive_buffer(small_receive_buffer);
    }

    // Sends the request and the beginning of the response; returns the target's
    // connection.
    test_connection answer_early(std::size_t body_bytes)
    {
        upload_until_stalled(caller_);
        auto connection = target_.accept();
        connection.read_header();
        connection.send(response_head + std::string(body_bytes, 'a'));
        return connection;
    }

    scripted_target target_;
    relay vm_;
    test_connection caller_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(reset_during_upload)

BOOST_AUTO_TEST_CASE(a_response_that_was_relayed_in_part_does_not_look_complete)
{
    upload_fixture fixture;
    auto connection = fixture.answer_early(relayed_bytes);
    BOOST_TEST(contains(fixture.caller_.read_header(), "HTTP/1.1 200 "));
    connection.reset();
    const auto body = fixture.caller_.read_to_end();
    BOOST_TEST(!contains(body, "\r\n0\r\n\r\n"));
    BOOST_TEST(fixture.vm_.path().statistics().answered_ == 0U);
}

BOOST_AUTO_TEST_CASE(a_response_that_was_held_back_is_lost)
{
    // A close resets, too, while bytes of the request are unread, as when the
    // process of the target ends.
    for (const auto end : {&test_connection::reset, &test_connection::close})
    {
        upload_fixture fixture;
        auto connection = fixture.answer_early(held_bytes);
        (connection.*end)();
        BOOST_TEST(outcome_of(fixture.caller_.read_header()) ==
                   "unknown target_answer_lost");
    }
}

BOOST_AUTO_TEST_CASE(an_orderly_end_completes_the_response)
{
    upload_fixture fixture;
    auto connection = fixture.answer_early(held_bytes);
    connection.socket().shutdown(tcp::socket::shutdown_send);
    BOOST_TEST(contains(fixture.caller_.read_header(), "HTTP/1.1 200 "));
    BOOST_TEST(contains(fixture.caller_.read_to_end(), "\r\n0\r\n\r\n"));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace anvilturn::test
