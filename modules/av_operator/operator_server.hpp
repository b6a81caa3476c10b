#ifndef AV_OPERATOR_OPERATOR_SERVER_HPP
#define AV_OPERATOR_OPERATOR_SERVER_HPP

#include <av_operator/operator_request.hpp>
#include <av_operator/operator_response.hpp>
#include <av_operator/operator_server_options.hpp>

#include <absl/status/status.h>

#include <cstdint>
#include <functional>
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

// Returns the response to a request. It must not block.
using operator_handler =
    std::function<operator_response(const operator_request& request)>;

// Receives the response to a request. It may be called on any thread, once.
using operator_completion = std::function<void(operator_response response)>;

// Handles a request asynchronously and passes the response to the completion.
// If that is not called within handler_timeout_, the operator gets 504.
using operator_async_handler = std::function<void(
    const operator_request& request, operator_completion done)>;

// HTTP/1.1 server for operators. Requests that exceed a limit, are malformed or
// name an unknown path get an HTTP error response; the connection of an
// operator who sends or receives too slowly is closed. Handlers run on the
// thread of the io_context and must not block.
class operator_server
{
public:
    operator_server(boost::asio::io_context& context,
                    const operator_server_options& options);
    ~operator_server();

    operator_server(const operator_server&) = delete;
    operator_server& operator=(const operator_server&) = delete;

    // Registers the handler for a method, such as "GET", and a path, such as
    // "/v1/dump". Register all routes before start. Registering a route twice
    // is a programming error.
    void add_route(const std::string& method,
                   const std::string& path,
                   operator_handler handler);
    void add_async_route(const std::string& method,
                         const std::string& path,
                         operator_async_handler handler);

    // Starts to listen. Returns settings_invalid if the address can't be used.
    absl::Status start();

    // Returns the port that the server listens on; 0 before start.
    std::uint16_t port() const;

    // Stops listening and closes all open connections.
    void stop();

private:
    class implementation;
    std::shared_ptr<implementation> implementation_;
};

} // namespace anvilturn

#endif
