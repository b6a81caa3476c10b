#ifndef AV_NET_HTTP_CALLER_HPP
#define AV_NET_HTTP_CALLER_HPP

#include <av_core/milliseconds.hpp>
#include <av_net/http_exchange.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace boost
{
namespace asio
{
class io_context;
}
} // namespace boost

namespace anvilturn
{

// HTTP client for one server, with keep-alive connections. Concurrent calls
// each use a connection of their own. Use it on the thread of the io_context.
class http_caller
{
public:
    // The address is an IP address and port, see parse_endpoint; otherwise all
    // calls end as not_connected. body_limit is the maximum size of a
    // response's body in bytes.
    http_caller(boost::asio::io_context& context,
                std::string address,
                std::size_t body_limit);

    // Abandons the calls in progress, without calling back.
    ~http_caller();
    http_caller(const http_caller&) = delete;
    http_caller& operator=(const http_caller&) = delete;

    // Sets the Host field of the request and sends it. Calls back once,
    // asynchronously, unless this object is destroyed first. For the timeout
    // see http_exchange::start.
    void call(http_request request, milliseconds timeout, http_callback done);

    // Returns the number of connections opened so far. Thread-safe.
    std::uint64_t connections() const;

private:
    class implementation;
    std::shared_ptr<implementation> implementation_;
};

} // namespace anvilturn

#endif
