// Purpose: a minimal relay on the same HTTP library as anvilturn: it reads a
// request, forwards it to the next target in round-robin order and writes the
// response back. It makes no balancing decision, so it is the baseline for what
// anvilturn's decisions cost.

#include <common/http_server.hpp>
#include <common/standin_program.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <absl/strings/str_split.h>

#include <csignal>
#include <memory>
#include <vector>

namespace
{

constexpr const char* usage =
    R"(Single-threaded baseline relay that makes no balancing decisions.

Usage:
  bare_relay --listen ADDRESS --targets ADDRESSES
  bare_relay --help

Options:
  --listen ADDRESS     Address to serve on.
  --targets ADDRESSES  Targets, separated by commas; calls go to them in
                       round-robin order.
)";

namespace http = boost::beast::http;
using boost::asio::ip::tcp;

struct upstream
{
    explicit upstream(boost::asio::io_context& context)
        : socket_(context)
    {
    }

    tcp::socket socket_;
    boost::beast::flat_buffer buffer_;
    http::request<http::string_body> request_;
    http::response<http::string_body> response_;
};
using upstream_pointer = std::shared_ptr<upstream>;

struct pool
{
    tcp::endpoint address_;
    std::vector<upstream_pointer> idle_connections_;
};

class relay
{
public:
    relay(boost::asio::io_context& context, std::vector<pool> pools)
        : context_(context)
        , pools_(std::move(pools))
    {
    }

    void handle(const std::shared_ptr<anvilturn::http_session>& session)
    {
        auto& pool = pools_[next_pool_++ % pools_.size()];
        if (!pool.idle_connections_.empty())
        {
            const auto connection = std::move(pool.idle_connections_.back());
            pool.idle_connections_.pop_back();
            forward(pool, connection, session);
            return;
        }
        const auto connection = std::make_shared<upstream>(context_);
        connection->socket_.async_connect(
            pool.address_,
            [this, &pool, connection, session](auto error)
            {
                if (error)
                {
                    session->drop();
                    return;
                }
                connection->socket_.set_option(tcp::no_delay(true), error);
                forward(pool, connection, session);
            });
    }

private:
    void forward(pool& pool,
                 const upstream_pointer& connection,
                 const std::shared_ptr<anvilturn::http_session>& session)
    {
        connection->request_ = session->request();
        http::async_write(connection->socket_,
                          connection->request_,
                          [this, &pool, connection, session](auto error, auto)
                          {
                              if (error)
                              {
                                  session->drop();
                                  return;
                              }
                              read(pool, connection, session);
                          });
    }

    void read(pool& pool,
              const upstream_pointer& connection,
              const std::shared_ptr<anvilturn::http_session>& session)
    {
        connection->response_ = {};
        http::async_read(connection->socket_,
                         connection->buffer_,
                         connection->response_,
                         [&pool, connection, session](auto error, auto)
                         {
                             if (error)
                             {
                                 session->drop();
                                 return;
                             }
                             auto response = std::move(connection->response_);
                             pool.idle_connections_.push_back(connection);
                             session->reply(std::move(response));
                         });
    }

    boost::asio::io_context& context_;
    std::vector<pool> pools_;
    std::size_t next_pool_ = 0;
};

int serve(const anvilturn::arguments& args)
{
    boost::asio::io_context context(1);
    boost::asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait(
        [&context](auto, int)
        {
            context.stop();
        });
    std::vector<pool> pools;
    const auto targets = anvilturn::text_of(args, "--targets");
    for (const auto address : absl::StrSplit(targets, ','))
    {
        pools.push_back(
            {anvilturn::require_endpoint({address.data(), address.size()}),
             {}});
    }
    relay request_relay(context, std::move(pools));
    const anvilturn::http_server server(
        context,
        anvilturn::require_endpoint(anvilturn::text_of(args, "--listen")),
        {},
        [&request_relay](const auto& session)
        {
            request_relay.handle(session);
        });
    context.run();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    return anvilturn::run_standin("bare_relay", usage, argc, argv, serve);
}
