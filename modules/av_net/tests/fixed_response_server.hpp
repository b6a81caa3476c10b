#ifndef AV_NET_TESTS_FIXED_RESPONSE_SERVER_HPP
#define AV_NET_TESTS_FIXED_RESPONSE_SERVER_HPP

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace anvilturn::testing
{

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

enum class server_behavior
{
    keep_open,
    close,
    // Keeps the connection open but does not answer further requests.
    stall
};

// Answers each request with the same bytes as soon as its header has arrived.
// Request bodies are not read.
class fixed_response_server
{
public:
    fixed_response_server(asio::io_context& context,
                          std::string bytes,
                          server_behavior behavior)
        : acceptor_(context,
                    tcp::endpoint(asio::ip::make_address("127.0.20.2"), 0))
        , bytes_(std::move(bytes))
        , behavior_(behavior)
    {
        accept();
    }

    std::string address() const
    {
        return "127.0.20.2:" +
               std::to_string(acceptor_.local_endpoint().port());
    }

    const std::vector<std::string>& requests() const
    {
        return requests_;
    }

    void stop()
    {
        acceptor_.close();
        for (const auto& socket : sockets_)
        {
            socket->close();
        }
    }

private:
    void accept()
    {
        acceptor_.async_accept(
            [this](boost::system::error_code error, tcp::socket socket)
            {
                if (!error)
                {
                    sockets_.push_back(
                        std::make_shared<tcp::socket>(std::move(socket)));
                    read(sockets_.back(), std::make_shared<asio::streambuf>());
                    accept();
                }
            });
    }

    void read(const std::shared_ptr<tcp::socket>& socket,
              const std::shared_ptr<asio::streambuf>& buffer)
    {
        asio::async_read_until(
            *socket,
            *buffer,
            "\r\n\r\n",
            [this, socket, buffer](boost::system::error_code error,
                                   std::size_t size)
            {
                if (error)
                {
                    return;
                }
                const auto data = asio::buffers_begin(buffer->data());
                requests_.emplace_back(
                    data, data + static_cast<std::ptrdiff_t>(size));
                buffer->consume(buffer->size());
                respond(socket, buffer);
            });
    }

    void respond(const std::shared_ptr<tcp::socket>& socket,
                 const std::shared_ptr<asio::streambuf>& buffer)
    {
        asio::async_write(
            *socket,
            asio::buffer(bytes_),
            [this, socket, buffer](boost::system::error_code error, std::size_t)
            {
                if (error || behavior_ == server_behavior::close)
                {
                    socket->close();
                    return;
                }
                if (behavior_ == server_behavior::keep_open)
                {
                    read(socket, buffer);
                }
            });
    }

    tcp::acceptor acceptor_;
    std::string bytes_;
    server_behavior behavior_;
    std::vector<std::string> requests_;
    std::vector<std::shared_ptr<tcp::socket>> sockets_;
};

} // namespace anvilturn::testing

#endif
