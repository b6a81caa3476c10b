// Subscriptions over links that are slow for what is sent: many VMs that start
// at once fill the links of their watchers with snapshots.

#include <av_core/monotonic_clock.hpp>
#include <av_replication/av_replication.hpp>
#include <av_replication/replication_timing.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <chrono>
#include <memory>
#include <string>
#include <vector>

using namespace anvilturn;
using tcp = boost::asio::ip::tcp;

namespace
{

constexpr std::chrono::seconds test_timeout{20};
constexpr int small_buffer_bytes = 4096;
// Enough targets that a snapshot exceeds all buffers of a connection.
constexpr int many_targets = 8'000;
constexpr int change_count = 20;

std::string name_of(int number)
{
    const auto spread = static_cast<std::uint32_t>(number) * 2654435761U;
    return "i-" + std::to_string(spread);
}

std::map<std::string, registered_target> make_targets(int count)
{
    std::map<std::string, registered_target> result;
    for (int i = 0; i < count; ++i)
    {
        auto& target = result[name_of(i)];
        target.spec_.name_ = name_of(i);
        target.spec_.service_ = "kits";
        target.spec_.address_ = "10.1.0.7:" + std::to_string(1024 + i);
        target.revision_ = 7 + static_cast<store_revision>(i) * 11;
    }
    return result;
}

template <typename Condition>
void run_until(boost::asio::io_context& context, Condition condition)
{
    const auto limit = std::chrono::steady_clock::now() + test_timeout;
    while (!condition())
    {
        BOOST_TEST_REQUIRE((std::chrono::steady_clock::now() < limit));
        context.run_one_for(std::chrono::milliseconds(20));
    }
}

// A watcher whose store was last answered a little later each time it is asked,
// so that messages composed separately differ.
struct publisher
{
    publisher()
        : server_(context_,
                  "a",
                  false,
                  [this]
                  {
                      return milliseconds(++age_ms_);
                  })
    {
        BOOST_TEST_REQUIRE(server_.start("127.0.30.7:0").ok());
        auto value = std::make_shared<release>();
        value->version_ = 3;
        server_.publish_release(std::move(value));
    }

    boost::asio::io_context context_;
    double age_ms_ = 0.0;
    registry_publisher server_;
};

// The subscriber's end of a connection, which reads only when it is told to.
class slow_reader
{
public:
    slow_reader(publisher& owner)
        : owner_(owner)
        , socket_(owner.context_)
    {
        const auto address = owner.server_.address();
        const auto colon = address.rfind(':');
        socket_.open(tcp::v4());
        socket_.set_option(
            boost::asio::socket_base::receive_buffer_size(small_buffer_bytes));
        socket_.connect(
            {boost::asio::ip::make_address(address.substr(0, colon)),
             static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))});
        const auto before = owner.server_.subscribers();
        boost::asio::write(socket_,
                           boost::asio::buffer(write_subscription({})));
        socket_.non_blocking(true);
        run_until(owner.context_,
                  [&]
                  {
                      return owner.server_.subscribers() > before;
                  });
    }

    void await_input()
    {
        run_until(owner_.context_,
                  [this]
                  {
                      return socket_.available() > 0;
                  });
    }

    // Reads the next message.
    std::string frame()
    {
        read_to(frame_header_bytes);
        const auto size = frame_header_bytes + frame_length(input_);
        read_to(size);
        auto result = input_.substr(0, size);
        input_.erase(0, size);
        return result;
    }

    registry_update update()
    {
        const auto bytes = frame();
        const auto read = read_update(
            std::string_view(bytes).substr(frame_header_bytes), service_spec());
        BOOST_TEST_REQUIRE(read.ok());
        return *read;
    }

private:
    void read_to(std::size_t size)
    {
        run_until(owner_.context_,
                  [&]
                  {
                      char bytes[65536];
                      boost::system::error_code error;
                      const auto count =
                          socket_.read_some(boost::asio::buffer(bytes), error);
                      input_.append(bytes, count);
                      BOOST_TEST_REQUIRE(
                          (!error || error == boost::asio::error::would_block));
                      return input_.size() >= size;
                  });
    }

    publisher& owner_;
    tcp::socket socket_;
    std::string input_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(slow_links)

// Messages that wait in a queue would report the store's answers as recent when
// they arrive, however long they waited.
BOOST_AUTO_TEST_CASE(a_slow_subscriber_gets_recent_contents_after_its_snapshot)
{
    publisher watcher;
    auto targets = make_targets(many_targets);
    watcher.server_.publish_targets(targets, 7);
    slow_reader subscriber(watcher);
    subscriber.await_input();
    for (int i = 0; i < change_count; ++i)
    {
        targets[name_of(i)].spec_.draining_ = true;
        watcher.server_.publish_targets(targets, 8 + i);
        watcher.context_.poll();
    }
    const auto age_at_last_change = watcher.age_ms_;
    BOOST_TEST(subscriber.update().is_snapshot_);
    const auto next = subscriber.update();
    BOOST_TEST(!next.is_snapshot_);
    BOOST_TEST(next.changes_.size() == static_cast<std::size_t>(change_count));
    BOOST_TEST(next.contents_age_.count() > age_at_last_change);
}

BOOST_AUTO_TEST_CASE(subscribers_share_a_snapshot)
{
    publisher watcher;
    watcher.server_.publish_targets(make_targets(10), 7);
    slow_reader first(watcher);
    const auto frame = first.frame();
    slow_reader second(watcher);
    BOOST_TEST((second.frame() == frame));
    watcher.server_.publish_targets(make_targets(11), 8);
    slow_reader third(watcher);
    BOOST_TEST(third.update().changes_.size() == 11U);
}

// A watcher with a slow link sends a snapshot in parts, each in time, after it
// has reported that it was not ready.
BOOST_AUTO_TEST_CASE(a_snapshot_that_arrives_slowly_is_not_requested_anew)
{
    constexpr int parts = 5;
    const auto pause = watcher_timeout * 0.35;
    boost::asio::io_context context;
    tcp::acceptor acceptor(
        context, tcp::endpoint(boost::asio::ip::make_address("127.0.30.7"), 0));
    registry_update sent;
    sent.epoch_ = 5;
    sent.is_snapshot_ = true;
    const auto frame = write_update(sent);
    std::vector<registry_update> updates;
    std::vector<std::string> ends;
    subscriber_handlers handlers;
    handlers.on_update_ = [&updates](const registry_update& update)
    {
        updates.push_back(update);
        return true;
    };
    handlers.on_end_ = [&ends](const std::string& reason)
    {
        ends.push_back(reason);
    };
    registry_subscriber subscriber(context, service_spec(), handlers);
    const auto port = std::to_string(acceptor.local_endpoint().port());
    subscriber.start("127.0.30.7:" + port, {});
    auto socket = acceptor.accept();
    boost::asio::write(socket, boost::asio::buffer(write_update({})));
    auto next_at = monotonic_now();
    int part = 0;
    run_until(context,
              [&]
              {
                  if (part < parts && monotonic_now() >= next_at)
                  {
                      const auto from = frame.size() * part / parts;
                      const auto to = frame.size() * (part + 1) / parts;
                      boost::asio::write(
                          socket,
                          boost::asio::buffer(frame.data() + from, to - from));
                      ++part;
                      next_at = monotonic_now() + pause;
                  }
                  return updates.size() == 2 || !ends.empty();
              });
    BOOST_TEST(ends.empty());
    BOOST_TEST_REQUIRE(updates.size() == 2U);
    BOOST_TEST((updates[1].transfer_time_ >= pause * (parts - 1)));
}

BOOST_AUTO_TEST_SUITE_END()
