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

class bare_session : public std::enable_shared_from_this<bare_session>
{
public:
    bare_session(bare_relay& relay, tcp::socket socket)
        : relay_(relay)
        , socket_(std::move(socket))
    {
        socket_.set_option(tcp::no_delay(true));
    }

    void read_request()
    {
        request_ = {};
        http::async_read(socket_,
                         input_,
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
        connection_ = relay_.take_connection();
        http::async_write(*connection_,
                          request_,
                          [self = shared_from_this()](error_code error, auto)
                          {
                              if (!error)
                              {
                                  self->read_answer();
                              }
                          });
    }

    void read_answer()
    {
        http_response_ = {};
        http::async_read(*connection_,
                         target_input_,
                         http_response_,
                         [self = shared_from_this()](error_code error, auto)
                         {
                             if (!error)
                             {
                                 self->write_answer();
                             }
                         });
    }

    void write_answer()
    {
        relay_.keep(std::move(connection_));
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
    boost::beast::flat_buffer input_;
    boost::beast::flat_buffer target_input_;
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

std::unique_ptr<tcp::socket> bare_relay::take_connection()
{
    if (idle_.empty())
    {
        auto connection = std::make_unique<tcp::socket>(context_);
        connection->connect(target_);
        connection->set_option(tcp::no_delay(true));
        return connection;
    }
    auto connection = std::move(idle_.back());
    idle_.pop_back();
    return connection;
}

void bare_relay::keep(std::unique_ptr<tcp::socket> connection)
{
    idle_.push_back(std::move(connection));
}

void bare_relay::accept()
{
    acceptor_.async_accept(
        [this](error_code error, tcp::socket socket)
        {
            if (!error)
            {
                std::make_shared<bare_session>(*this, std::move(socket))
                    ->read_request();
                accept();
            }
        });
}

} // namespace anvilturn
