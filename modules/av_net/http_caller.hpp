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

// Makes calls to one HTTP server over connections that are kept open. Calls may
// run at the same time, each on a connection of its own. Use it on the thread
// of the io_context.
class http_caller
{
public:
    // The address is an IP number and port; the limit is for an answer's body.
    http_caller(boost::asio::io_context& context,
                std::string address,
                std::size_t body_limit);

    // Abandons the calls under way.
    ~http_caller();
    http_caller(const http_caller&) = delete;
    http_caller& operator=(const http_caller&) = delete;

    // Sends the request, with the Host field set. Calls back once, later,
    // unless this object is destroyed before.
    void call(http_request request, milliseconds timeout, http_callback done);

    // Connections that were opened so far.
    std::uint64_t connections() const;

private:
    class implementation;
    std::shared_ptr<implementation> implementation_;
};

} // namespace anvilturn

#endif
