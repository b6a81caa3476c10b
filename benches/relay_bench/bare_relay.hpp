#ifndef BENCHES_RELAY_BENCH_BARE_RELAY_HPP
#define BENCHES_RELAY_BENCH_BARE_RELAY_HPP

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <vector>

namespace anvilturn
{

// A relay on the same HTTP library that makes no balancing decision: it
// forwards each request to its one target over a pooled connection and returns
// the response. The baseline that the request path is compared with.
// Single-threaded.
class bare_relay
{
public:
    bare_relay(boost::asio::io_context& context,
               const boost::asio::ip::tcp::endpoint& target);

    // Returns the address that it listens on.
    boost::asio::ip::tcp::endpoint address() const;

    // Returns a connection to the target, from the pool or newly established.
    // Throws boost::system::system_error if the target is unreachable.
    std::unique_ptr<boost::asio::ip::tcp::socket> acquire_connection();
    // Returns a connection to the pool.
    void release_connection(
        std::unique_ptr<boost::asio::ip::tcp::socket> connection);

private:
    void accept();

    boost::asio::io_context& context_;
    boost::asio::ip::tcp::endpoint target_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::vector<std::unique_ptr<boost::asio::ip::tcp::socket>>
        idle_connections_;
};

} // namespace anvilturn

#endif
