#include <av_net/capnp_frame.hpp>

#include <boost/test/unit_test.hpp>
#include <capnp/any.h>
#include <rapidcheck/boost_test.h>

#include <string>
#include <string_view>

namespace anvilturn
{
namespace
{

constexpr std::size_t test_limit = 4096;

std::string frame_of(const std::string& text)
{
    capnp::MallocMessageBuilder message;
    message.initRoot<capnp::AnyPointer>().setAs<capnp::Text>(text);
    return to_frame(message);
}

absl::StatusOr<std::string> read_text(std::string_view body)
{
    return read_message<std::string>(
        body,
        test_limit,
        [](capnp::MessageReader& message)
        {
            return to_string(
                message.getRoot<capnp::AnyPointer>().getAs<capnp::Text>());
        });
}

std::string_view body_of(const std::string& frame)
{
    return std::string_view(frame).substr(frame_header_bytes);
}

BOOST_AUTO_TEST_SUITE(message_frame_test)

// Short messages are sent as they are, long ones compressed.
BOOST_AUTO_TEST_CASE(short_and_long_messages_arrive_unchanged)
{
    for (const std::size_t size : {0U, 5U, 500U, 3000U})
    {
        const std::string text(size, 'a');
        const auto frame = frame_of(text);
        BOOST_TEST(frame_length(frame) == frame.size() - frame_header_bytes);
        const auto read = read_text(body_of(frame));
        BOOST_TEST_REQUIRE(read.ok(), read.status());
        BOOST_TEST(*read == text);
    }
}

// A short compressed message must not make the receiver allocate a large one.
BOOST_AUTO_TEST_CASE(a_message_that_is_too_long_uncompressed_is_refused)
{
    const auto frame = frame_of(std::string(2 * test_limit, 'a'));
    BOOST_TEST(frame.size() < test_limit);
    const auto read = read_text(body_of(frame));
    BOOST_TEST(!read.ok());
    BOOST_TEST((kind_of(read.status()) == error_kind::peer_malformed));
}

// Guards against reads beyond the end of a body.
BOOST_AUTO_TEST_CASE(bodies_without_a_message_are_refused)
{
    for (const std::string_view body :
         {std::string_view(""),
          std::string_view("abc"),
          std::string_view("\0\0\0\0", 4),
          std::string_view("\xff\xff\xff\xff\xff\xff\xff\xff")})
    {
        BOOST_TEST(!read_text(body).ok());
    }
}

// Peers may run another version or be broken: no message of theirs may end this
// VM.
RC_BOOST_PROP(mutated_messages_are_read_or_refused, ())
{
    const auto size = *rc::gen::inRange<std::size_t>(0, 1500);
    auto body = std::string(body_of(frame_of(std::string(size, 'a'))));
    const auto changes = *rc::gen::inRange(1, 8);
    for (int i = 0; i < changes; ++i)
    {
        body[*rc::gen::inRange<std::size_t>(0, body.size())] =
            *rc::gen::arbitrary<char>();
    }
    body.resize(*rc::gen::inRange<std::size_t>(0, body.size() + 1));
    (void)read_text(body);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace anvilturn
