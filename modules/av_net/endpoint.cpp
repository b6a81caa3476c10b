#include <av_net/endpoint.hpp>

#include <av_core/error.hpp>

#include <charconv>
#include <cstdint>
#include <string>

namespace anvilturn
{

std::optional<boost::asio::ip::tcp::endpoint>
parse_endpoint(std::string_view address)
{
    const auto colon = address.rfind(':');
    if (colon == std::string_view::npos)
    {
        return std::nullopt;
    }
    std::string host(address.substr(0, colon));
    const bool is_bracketed =
        host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (is_bracketed)
    {
        host = host.substr(1, host.size() - 2);
    }
    boost::system::error_code error;
    const auto ip = boost::asio::ip::make_address(host, error);
    const char* last = address.data() + address.size();
    std::uint16_t port = 0;
    const auto digits = std::from_chars(address.data() + colon + 1, last, port);
    if (error || ip.is_v6() != is_bracketed || digits.ec != std::errc() ||
        digits.ptr != last)
    {
        return std::nullopt;
    }
    return boost::asio::ip::tcp::endpoint(ip, port);
}

boost::system::error_code
listen_at(boost::asio::ip::tcp::acceptor& acceptor,
          const boost::asio::ip::tcp::endpoint& endpoint)
{
    boost::system::error_code error;
    acceptor.open(endpoint.protocol(), error);
    if (!error)
    {
        acceptor.set_option(boost::asio::socket_base::reuse_address(true),
                            error);
    }
    if (!error)
    {
        acceptor.bind(endpoint, error);
    }
    if (!error)
    {
        acceptor.listen(boost::asio::socket_base::max_listen_connections,
                        error);
    }
    return error;
}

absl::Status listen_at(boost::asio::ip::tcp::acceptor& acceptor,
                       const std::string& setting,
                       const std::string& address)
{
    const auto endpoint = parse_endpoint(address);
    if (!endpoint)
    {
        return make_error(error_kind::settings_invalid,
                          setting + ": " + address +
                              " is not an IP address and port");
    }
    const auto error = listen_at(acceptor, *endpoint);
    return error ? make_error(error_kind::settings_invalid,
                              "can't listen on " + address + ": " +
                                  error.message())
                 : absl::OkStatus();
}

} // namespace anvilturn
