#include "running_context.hpp"

#include <av_net/frame_reader.hpp>

#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <optional>
#include <string>
#include <string_view>

using namespace anvilturn;
using anvilturn::testing::running_context;

namespace
{

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

constexpr std::size_t test_limit = 300;

// Returns the header of a body with that length.
std::string header_of(std::size_t length)
{
    return {static_cast<char>(length & 0xffU),
            static_cast<char>((length >> 8U) & 0xffU),
            static_cast<char>((length >> 16U) & 0xffU),
            static_cast<char>((length >> 24U) & 0xffU)};
}

// A reader and the connection that it reads from.
struct reader_fixture : running_context
{
    reader_fixture()
    {
        tcp::acceptor acceptor(context_,
                               {asio::ip::make_address_v4("127.0.30.11"), 0});
        peer_.connect(acceptor.local_endpoint());
        socket_ = acceptor.accept();
        peer_.set_option(tcp::no_delay(true));
    }

    void read()
    {
        result_.reset();
        frame_handlers handlers;
        handlers.on_header_ = [this]
        {
            ++headers_;
        };
        handlers.on_progress_ = [this]
        {
            ++parts_;
        };
        handlers.on_frame_ = [this](const error_code& error)
        {
            BOOST_TEST_REQUIRE(!result_.has_value());
            result_ = error;
        };
        reader_.read(std::move(handlers));
    }

    void send(std::string_view bytes)
    {
        asio::write(peer_, asio::buffer(bytes));
    }

    error_code run_until_read()
    {
        run_until(
            [this]
            {
                return result_.has_value();
            });
        return *result_;
    }

    tcp::socket peer_{context_};
    tcp::socket socket_{context_};
    frame_reader reader_{socket_, test_limit};
    int headers_ = 0;
    int parts_ = 0;
    std::optional<error_code> result_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(frame_reader_test)

// Guards against a reader that loses its place between frames, also after an
// empty one.
BOOST_AUTO_TEST_CASE(frames_are_read_one_after_the_other)
{
    reader_fixture fixture;
    const std::string longest(test_limit, 'a');
    fixture.send(header_of(3) + "abc" + header_of(0) + header_of(test_limit) +
                 longest);
    for (const std::string& body : {std::string("abc"), std::string(), longest})
    {
        fixture.read();
        BOOST_TEST(!fixture.run_until_read());
        BOOST_TEST(fixture.reader_.body() == body);
    }
    BOOST_TEST(fixture.headers_ == 3);
    fixture.reader_.clear();
    BOOST_TEST(fixture.reader_.body().empty());
}

// A peer of another version or a broken one must not make this VM allocate what
// it states.
BOOST_AUTO_TEST_CASE(a_body_that_exceeds_the_limit_is_refused)
{
    for (const std::size_t length :
         {test_limit + 1, std::size_t{0x7fffffff}, std::size_t{0xffffffff}})
    {
        reader_fixture fixture;
        fixture.send(header_of(length) + "abc");
        fixture.read();
        BOOST_TEST((fixture.run_until_read() == frame_too_long));
        BOOST_TEST(fixture.reader_.body().empty());
        BOOST_TEST(fixture.headers_ == 0);
    }
}

// Guards against a length that is taken from an incomplete header.
BOOST_AUTO_TEST_CASE(an_end_within_the_header_is_an_error)
{
    for (const std::size_t size : {0U, 1U, 3U})
    {
        reader_fixture fixture;
        fixture.send(header_of(2).substr(0, size));
        fixture.peer_.close();
        fixture.read();
        BOOST_TEST((fixture.run_until_read() == asio::error::eof));
        BOOST_TEST(fixture.headers_ == 0);
    }
}

// Guards against a message that is decoded although its end is missing.
BOOST_AUTO_TEST_CASE(an_end_within_the_body_is_an_error)
{
    for (const std::string& part : {std::string(), std::string("ab")})
    {
        reader_fixture fixture;
        fixture.send(header_of(3) + part);
        fixture.peer_.close();
        fixture.read();
        BOOST_TEST((fixture.run_until_read() == asio::error::eof));
        BOOST_TEST(fixture.headers_ == 1);
    }
}

// A long message on a slow link must not count as silence of the peer.
BOOST_AUTO_TEST_CASE(parts_of_a_body_are_reported_as_they_arrive)
{
    reader_fixture fixture;
    fixture.send(header_of(3).substr(0, 2));
    fixture.read();
    fixture.send(header_of(3).substr(2));
    for (int i = 0; i < 3; ++i)
    {
        fixture.run_until(
            [&]
            {
                return fixture.headers_ == 1 && fixture.parts_ == i;
            });
        BOOST_TEST(!fixture.result_.has_value());
        fixture.send("x");
    }
    BOOST_TEST(!fixture.run_until_read());
    // The last part completes the frame.
    BOOST_TEST(fixture.parts_ == 2);
    BOOST_TEST(fixture.reader_.body() == "xxx");
}

// A read may be complete when the socket is closed, before its handler runs.
// The bytes are no message of an open connection any more.
BOOST_AUTO_TEST_CASE(a_read_that_is_complete_when_the_socket_closes_fails)
{
    for (const std::string& body : {std::string(), std::string("abc")})
    {
        for (const int headers : {0, 1})
        {
            reader_fixture fixture;
            const auto frame = header_of(body.size()) + body;
            fixture.send(frame);
            fixture.run_until(
                [&]
                {
                    return fixture.socket_.available() == frame.size();
                });
            fixture.read();
            fixture.run_until(
                [&]
                {
                    return fixture.headers_ == headers;
                });
            fixture.socket_.close();
            const auto result = fixture.run_until_read();
            BOOST_TEST((result == asio::error::operation_aborted));
            BOOST_TEST(fixture.headers_ == headers);
        }
    }
}

// How a message is cut into packets must not matter.
RC_BOOST_PROP(bodies_in_any_pieces_arrive_unchanged, ())
{
    reader_fixture fixture;
    const auto size = *rc::gen::inRange<std::size_t>(0, test_limit + 1);
    std::string body(size, '\0');
    for (auto& byte : body)
    {
        byte = *rc::gen::arbitrary<char>();
    }
    std::string rest = header_of(size) + body;
    fixture.read();
    while (!rest.empty())
    {
        const auto piece = *rc::gen::inRange<std::size_t>(1, rest.size() + 1);
        fixture.send(rest.substr(0, piece));
        rest.erase(0, piece);
        fixture.context_.poll();
    }
    RC_ASSERT(!fixture.run_until_read());
    RC_ASSERT(fixture.reader_.body() == body);
}

BOOST_AUTO_TEST_SUITE_END()
