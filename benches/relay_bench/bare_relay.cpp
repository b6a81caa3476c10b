#include <relay_bench/bare_relay.hpp>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <utility>

namespace anvilturn
{
namespace
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;

class relay_session : public std::enable_shared_from_this<relay_session>
{
public:
    relay_session(bare_relay& relay, tcp::socket socket)
        : relay_(relay)
        , socket_(std::move(socket))
    {
        socket_.set_option(tcp::no_delay(true));
    }

    void read_request()
    {
        request_ = {};
        http::async_read(socket_,
                         input_buffer_,
                         request_,
                         [self = shared_from_this()](error_code error, auto)
                         {
                             if (!error)
                             {
                                 self->write_request();
                             }
                         });
    }

private:
    void write_request()
    {
        connection_ = relay_.acquire_connection();
        http::async_write(*connection_,
                          request_,
                          [self = shared_from_this()](error_code error, auto)
                          {
                              if (!error)
                              {
                                  self->read_response();
                              }
                          });
    }

    void read_response()
    {
        http_response_ = {};
        http::async_read(*connection_,
                         target_buffer_,
                         http_response_,
                         [self = shared_from_this()](error_code error, auto)
                         {
                             if (!error)
                             {
                                 self->write_response();
                             }
                         });
    }

    void write_response()
    {
        relay_.release_connection(std::move(connection_));
        http::async_write(socket_,
                          http_response_,
                          [self = shared_from_this()](error_code error, auto)
                          {
                              if (!error)
                              {
                                  self->read_request();
                              }
                          });
    }

    bare_relay& relay_;
    tcp::socket socket_;
    std::unique_ptr<tcp::socket> connection_;
    boost::beast::flat_buffer input_buffer_;
    boost::beast::flat_buffer target_buffer_;
    http::request<http::string_body> request_;
    http::response<http::string_body> http_response_;
};

} // namespace

bare_relay::bare_relay(asio::io_context& context, const tcp::endpoint& target)
    : context_(context)
    , target_(target)
    , acceptor_(context, tcp::endpoint(target.address(), 0))
{
    accept();
}

tcp::endpoint bare_relay::address() const
{
    return acceptor_.local_endpoint();
}

std::unique_ptr<tcp::socket> bare_relay::acquire_connection()
{
    if (idle_connections_.empty())
    {
        auto connection = std::make_unique<tcp::socket>(context_);
        connection->connect(target_);
        connection->set_option(tcp::no_delay(true));
        return connection;
    }
    auto connection = std::move(idle_connections_.back());
    idle_connections_.pop_back();
    return connection;
}

void bare_relay::release_connection(std::unique_ptr<tcp::socket> connection)
{
    idle_connections_.push_back(std::move(connection));
}

void bare_relay::accept()
{
    acceptor_.async_accept(
        [this](error_code error, tcp::socket socket)
        {
            if (!error)
            {
                std::make_shared<relay_session>(*this, std::move(socket))
                    ->read_request();
                accept();
            }
        });
}

} // namespace anvilturn
