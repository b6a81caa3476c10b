#include <av_peer/peer_address.hpp>

#include <av_core/error.hpp>

#include <boost/asio/ip/tcp.hpp>

#include <charconv>

namespace anvilturn
{
namespace
{

absl::Status invalid_address(const std::string& address)
{
    return make_error(error_kind::peer_unreachable,
                      "'" + address + "' is not an IP address and port");
}

std::string without_brackets(const std::string& host)
{
    const bool has_brackets =
        host.size() > 2 && host.front() == '[' && host.back() == ']';
    return has_brackets ? host.substr(1, host.size() - 2) : host;
}

} // namespace

absl::StatusOr<kj::Own<kj::NetworkAddress>>
parse_peer_address(kj::Network& network, const std::string& address)
{
    const std::size_t colon = address.rfind(':');
    if (colon == std::string::npos)
    {
        return invalid_address(address);
    }
    unsigned short port = 0;
    const char* const end = address.data() + address.size();
    const auto parsed = std::from_chars(address.data() + colon + 1, end, port);
    boost::system::error_code error;
    const auto host = boost::asio::ip::make_address(
        without_brackets(address.substr(0, colon)), error);
    if (error || parsed.ec != std::errc() || parsed.ptr != end)
    {
        return invalid_address(address);
    }
    const boost::asio::ip::tcp::endpoint endpoint(host, port);
    return network.getSockaddr(endpoint.data(),
                               static_cast<unsigned>(endpoint.size()));
}

} // namespace anvilturn
