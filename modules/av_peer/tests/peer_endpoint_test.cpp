#include <av_core/error.hpp>
#include <av_peer/av_peer.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <array>
#include <chrono>
#include <functional>
#include <future>
#include <memory>
#include <optional>
#include <string>
#include <thread>

using namespace anvilturn;
using boost::asio::ip::tcp;

namespace
{

constexpr char any_port[] = "127.0.50.2:0";

// For calls that must succeed, however slow the machine.
constexpr milliseconds patient{60000.0};
// For calls that must run into their time limit.
constexpr milliseconds short_timeout{300.0};

peer_options options_for(const std::string& deployment,
                         milliseconds timeout = patient)
{
    peer_options options;
    options.listen_address_ = any_port;
    options.deployment_ = deployment;
    options.call_timeout_ = timeout;
    options.fetch_timeout_ = timeout;
    options.first_call_timeout_ = timeout;
    options.message_limit_bytes_ = 64 * 1024;
    options.release_limit_bytes_ = 128 * 1024;
    return options;
}

peer_message message_of(const std::string& deployment)
{
    peer_message message;
    message.deployment_ = deployment;
    return message;
}

// Answers each exchange with the request, as of the deployment.
peer_handlers echo_handlers(const std::string& deployment)
{
    peer_handlers handlers;
    handlers.on_exchange_ =
        [deployment](peer_message request, const auto& reply)
    {
        request.deployment_ = deployment;
        reply(std::move(request));
    };
    handlers.on_pushed_update_ = [](const peer_message&) {};
    handlers.on_fetch_ = [](const auto& reply)
    {
        reply(std::make_shared<const release_document>(
            release_document{3, "digest", std::string(1000, 'x')}));
    };
    return handlers;
}

std::unique_ptr<peer_endpoint> open(const std::string& deployment,
                                    peer_handlers handlers,
                                    milliseconds timeout = patient)
{
    auto endpoint = peer_endpoint::open(options_for(deployment, timeout),
                                        std::move(handlers));
    BOOST_REQUIRE(endpoint.ok());
    return *std::move(endpoint);
}

// The result of a call; the callback must come, sooner or later.
absl::StatusOr<peer_message> exchange(peer_endpoint& from,
                                      const std::string& address,
                                      const peer_message& message)
{
    auto promise =
        std::make_shared<std::promise<absl::StatusOr<peer_message>>>();
    from.exchange(address,
                  message,
                  [promise](absl::StatusOr<peer_message> result)
                  {
                      promise->set_value(std::move(result));
                  });
    return promise->get_future().get();
}

absl::StatusOr<release_document> fetch(peer_endpoint& from,
                                       const std::string& address)
{
    auto promise =
        std::make_shared<std::promise<absl::StatusOr<release_document>>>();
    from.fetch_release(address,
                       1,
                       [promise](absl::StatusOr<release_document> result)
                       {
                           promise->set_value(std::move(result));
                       });
    return promise->get_future().get();
}

absl::Status push(peer_endpoint& from,
                  const std::string& address,
                  const peer_message& message)
{
    auto promise = std::make_shared<std::promise<absl::Status>>();
    from.push_update(address,
                     message,
                     [promise](absl::Status status)
                     {
                         promise->set_value(std::move(status));
                     });
    return promise->get_future().get();
}

tcp::endpoint endpoint_of(const std::string& address)
{
    const auto colon = address.rfind(':');
    return {boost::asio::ip::make_address(address.substr(0, colon)),
            static_cast<unsigned short>(std::stoi(address.substr(colon + 1)))};
}

// A program that is no peer: it accepts one connection and does with it
// whatever the test says.
class faulty_server
{
public:
    explicit faulty_server(std::function<void(tcp::socket&)> behave)
        : acceptor_(context_, endpoint_of(any_port))
        , thread_(
              [this, behave = std::move(behave)]
              {
                  tcp::socket socket(context_);
                  boost::system::error_code error;
                  acceptor_.accept(socket, error);
                  if (!error)
                  {
                      behave(socket);
                  }
                  done_.get_future().wait();
              })
    {
    }

    ~faulty_server()
    {
        done_.set_value();
        thread_.join();
    }

    faulty_server(const faulty_server&) = delete;
    faulty_server& operator=(const faulty_server&) = delete;

    std::string address() const
    {
        return "127.0.50.2:" +
               std::to_string(acceptor_.local_endpoint().port());
    }

private:
    boost::asio::io_context context_;
    tcp::acceptor acceptor_;
    std::promise<void> done_;
    std::thread thread_;
};

void read_some(tcp::socket& socket)
{
    std::array<char, 64> buffer{};
    boost::system::error_code error;
    socket.read_some(boost::asio::buffer(buffer), error);
}

void send(tcp::socket& socket, const std::string& bytes)
{
    boost::system::error_code error;
    boost::asio::write(socket, boost::asio::buffer(bytes), error);
}

// Reads until the other side closes.
void read_to_end(tcp::socket& socket)
{
    std::array<char, 4096> buffer{};
    boost::system::error_code error;
    while (!error)
    {
        socket.read_some(boost::asio::buffer(buffer), error);
    }
}

// The frame of a message whose one segment has this many words.
std::string frame_of(std::uint32_t words)
{
    std::string frame(4, '\0');
    for (unsigned shift = 0; shift < 32; shift += 8)
    {
        frame += static_cast<char>((words >> shift) & 0xffU);
    }
    return frame;
}

} // namespace

BOOST_AUTO_TEST_SUITE(peer_rpc)

BOOST_AUTO_TEST_CASE(all_message_fields_survive_a_round_trip)
{
    const auto server = open("a", echo_handlers("a"));
    const auto client = open("a", echo_handlers("a"));
    peer_message message = message_of("a");
    message.members_.incarnation_ = 1ULL << 60U;
    message.members_.heartbeats_ = {{5, 6, true, 17}, {7, 8, false, 20}};
    message.members_.descriptions_ = {
        {"vm-1", "domain-1", 5, "10.0.0.1:1", "10.0.0.1:2", "10.0.0.1:3"}};
    message.members_.missing_descriptions_ = {9, 10};
    message.members_.suspected_members_ = {11};
    message.release_ = 20;
    message.release_digest_ = "abc";
    message.refresh_ = true;
    sequenced_notice notice;
    notice.notice_ = {target_notice_kind::serving,
                      "target-1",
                      {1, 2, 3, true},
                      milliseconds(40.0),
                      "vm-2"};
    notice.incarnation_ = 12;
    notice.sequence_ = 13;
    message.notices_ = {notice};
    const auto reply = exchange(*client, server->address(), message);
    BOOST_REQUIRE(reply.ok());
    BOOST_TEST((*reply == message));
    BOOST_TEST(push(*client, server->address(), message).ok());
    const auto document = fetch(*client, server->address());
    BOOST_REQUIRE(document.ok());
    BOOST_TEST(document->version_ == 3U);
    BOOST_TEST(document->text_.size() == 1000U);
    BOOST_TEST(client->traffic().bytes_sent_ > 0U);
    BOOST_TEST(server->traffic().calls_received_ == 3U);
}

struct faulty_server_case
{
    const char* what_;
    std::function<void(tcp::socket&)> behavior_;
};

BOOST_AUTO_TEST_CASE(call_to_a_faulty_server_fails_with_peer_unreachable)
{
    const faulty_server_case cases[] = {
        {"never answers", [](tcp::socket&) {}},
        {"closes at once",
         [](tcp::socket& socket)
         {
             socket.close();
         }},
        {"closes in the middle of the call",
         [](tcp::socket& socket)
         {
             read_some(socket);
             socket.close();
         }},
        {"resets the connection",
         [](tcp::socket& socket)
         {
             read_some(socket);
             socket.set_option(boost::asio::socket_base::linger(true, 0));
             socket.close();
         }},
        {"answers with other bytes",
         [](tcp::socket& socket)
         {
             send(socket, "HTTP/1.1 400 Bad Request\r\n\r\n");
         }},
        {"announces a message over the limit",
         [](tcp::socket& socket)
         {
             send(socket, frame_of(1U << 28U));
         }},
        {"closes in the middle of its answer",
         [](tcp::socket& socket)
         {
             send(socket, frame_of(16) + "12345678");
             socket.close();
         }},
    };
    for (const auto& row : cases)
    {
        BOOST_TEST_CONTEXT(row.what_)
        {
            const faulty_server faulty(row.behavior_);
            const auto client = open("a", echo_handlers("a"), short_timeout);
            const auto reply =
                exchange(*client, faulty.address(), message_of("a"));
            BOOST_TEST(
                (kind_of(reply.status()) == error_kind::peer_unreachable));
            BOOST_TEST(client->traffic().calls_failed_ == 1U);
        }
    }
}

BOOST_AUTO_TEST_CASE(address_without_numeric_ip_and_port_is_rejected)
{
    const auto client = open("a", echo_handlers("a"));
    for (const char* address : {"",
                                "localhost:80",
                                "unix:/x",
                                "127.0.50.2",
                                "127.0.50.2:99999",
                                "127.0.50.2:1:2",
                                "127.0.50.2:port"})
    {
        const auto reply = exchange(*client, address, message_of("a"));
        BOOST_TEST_CONTEXT(address)
        {
            BOOST_TEST(
                (kind_of(reply.status()) == error_kind::peer_unreachable));
        }
    }
}

BOOST_AUTO_TEST_CASE(server_closes_malformed_connections_and_keeps_serving)
{
    const std::pair<const char*, std::string> cases[] = {
        {"half open: sends nothing", ""},
        {"half open: sends half a frame", std::string(5, '\0')},
        {"garbage", "GET / HTTP/1.1\r\nHost: x\r\n\r\n"},
        {"garbage in a frame", frame_of(2) + std::string(16, '\xff')},
        {"over the limit", frame_of(1U << 28U)},
        {"too many segments", std::string(8, '\xff')},
    };
    const auto server = open("a", echo_handlers("a"), milliseconds(1000.0));
    const auto client = open("a", echo_handlers("a"));
    boost::asio::io_context context;
    for (const auto& [what, bytes] : cases)
    {
        BOOST_TEST_CONTEXT(what)
        {
            tcp::socket socket(context);
            socket.connect(endpoint_of(server->address()));
            send(socket, bytes);
            // It returns once the server closed.
            read_to_end(socket);
            BOOST_TEST(
                exchange(*client, server->address(), message_of("a")).ok());
        }
    }
}

BOOST_AUTO_TEST_CASE(calls_and_replies_of_another_deployment_are_refused)
{
    const auto server = open("a", echo_handlers("a"));
    const auto other = open("b", echo_handlers("b"));
    const auto mismatched = open("a", echo_handlers("b"));
    const auto& address = server->address();
    const auto expected = error_kind::peer_other_deployment;
    BOOST_TEST((kind_of(exchange(*other, address, message_of("b")).status()) ==
                expected));
    BOOST_TEST((kind_of(push(*other, address, message_of("b"))) == expected));
    BOOST_TEST((kind_of(fetch(*other, address).status()) == expected));
    BOOST_TEST(server->traffic().calls_refused_ == 3U);
    BOOST_TEST(
        (kind_of(exchange(*server, mismatched->address(), message_of("a"))
                     .status()) == expected));
}

BOOST_AUTO_TEST_CASE(messages_over_the_limits_are_refused)
{
    const auto server = open("a", echo_handlers("a"));
    const auto client = open("a", echo_handlers("a"));
    peer_message long_list = message_of("a");
    long_list.members_.missing_descriptions_.resize(1025);
    peer_message long_name = message_of("a");
    long_name.members_.descriptions_.resize(1);
    long_name.members_.descriptions_[0].name_ = std::string(300, 'n');
    peer_message no_name = message_of("a");
    no_name.members_.descriptions_.resize(1);
    for (const auto& message : {long_list, long_name, no_name})
    {
        const auto reply = exchange(*client, server->address(), message);
        BOOST_TEST((kind_of(reply.status()) == error_kind::peer_malformed));
    }
    BOOST_TEST(server->traffic().calls_refused_ == 3U);
    BOOST_TEST(exchange(*client, server->address(), message_of("a")).ok());
}

BOOST_AUTO_TEST_CASE(handler_that_never_replies_fails_only_its_call)
{
    auto handlers = echo_handlers("a");
    auto kept =
        std::make_shared<std::vector<peer_handlers::reply<peer_message>>>();
    handlers.on_exchange_ = [kept](const peer_message&, const auto& reply)
    {
        kept->push_back(reply);
    };
    const auto server = open("a", handlers, short_timeout);
    const auto client = open("a", echo_handlers("a"));
    const auto reply = exchange(*client, server->address(), message_of("a"));
    BOOST_TEST((kind_of(reply.status()) == error_kind::peer_unreachable));
    BOOST_TEST(fetch(*client, server->address()).ok());
    // A late reply is dropped.
    kept->front()(message_of("a"));
    BOOST_TEST(fetch(*client, server->address()).ok());
}

BOOST_AUTO_TEST_CASE(restarted_peer_is_reconnected)
{
    auto server = open("a", echo_handlers("a"));
    const std::string address = server->address();
    const auto client = open("a", echo_handlers("a"));
    BOOST_TEST(exchange(*client, address, message_of("a")).ok());
    server.reset();
    BOOST_TEST(!exchange(*client, address, message_of("a")).ok());
    auto options = options_for("a");
    options.listen_address_ = address;
    const auto again = peer_endpoint::open(options, echo_handlers("a"));
    BOOST_REQUIRE(again.ok());
    BOOST_TEST(exchange(*client, address, message_of("a")).ok());
}

BOOST_AUTO_TEST_CASE(address_in_use_gives_settings_invalid)
{
    const auto server = open("a", echo_handlers("a"));
    auto options = options_for("a");
    options.listen_address_ = server->address();
    const auto second = peer_endpoint::open(options, echo_handlers("a"));
    BOOST_TEST((kind_of(second.status()) == error_kind::settings_invalid));
}

BOOST_AUTO_TEST_SUITE_END()
