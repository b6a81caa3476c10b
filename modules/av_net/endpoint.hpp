#ifndef AV_NET_ENDPOINT_HPP
#define AV_NET_ENDPOINT_HPP

#include <absl/status/status.h>
#include <boost/asio/ip/tcp.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace anvilturn
{

// Parses an IP address and port, such as "10.0.0.1:80" or "[fd00::1]:80"; port
// 0 means any free port. Returns nothing if the text has another form; host
// names are not resolved.
std::optional<boost::asio::ip::tcp::endpoint>
parse_endpoint(std::string_view address);

// Opens the acceptor and listens at the endpoint.
boost::system::error_code
listen_at(boost::asio::ip::tcp::acceptor& acceptor,
          const boost::asio::ip::tcp::endpoint& endpoint);

// Does so at an address that the setting contains; settings_invalid if it can't
// be used.
absl::Status listen_at(boost::asio::ip::tcp::acceptor& acceptor,
                       const std::string& setting,
                       const std::string& address);

} // namespace anvilturn

#endif
