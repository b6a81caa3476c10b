#ifndef AV_NET_ENDPOINT_HPP
#define AV_NET_ENDPOINT_HPP

#include <boost/asio/ip/tcp.hpp>

#include <optional>
#include <string_view>

namespace anvilturn
{

// Parses an IP address and port, such as "10.0.0.1:80" or "[fd00::1]:80"; port
// 0 means any free port. Returns nothing if the text has another form; host
// names are not resolved.
std::optional<boost::asio::ip::tcp::endpoint>
parse_endpoint(std::string_view address);

} // namespace anvilturn

#endif
