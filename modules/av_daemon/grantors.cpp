#include <av_daemon/grantors.hpp>

#include <algorithm>
#include <cstddef>
#include <set>

namespace anvilturn
{
namespace
{

constexpr double milliseconds_per_second = 1000.0;
// With more grantors each would own a smaller share, so that a VM would have to
// ask more of them before it has enough permits.
constexpr std::size_t max_grantors = 3;

// Returns the part of an address with a port that precedes the colon.
std::string host_of(const std::string& address)
{
    return address.substr(0, address.rfind(':'));
}

// Returns the colon and the port.
std::string port_suffix(const std::string& address)
{
    return address.substr(address.rfind(':'));
}

} // namespace

std::vector<std::string> grantor_addresses(const settings& value)
{
    const auto& own_address = value.listen().grants_;
    if (!value.fleet_limits().is_enabled() || own_address.empty())
    {
        return {};
    }
    std::set<std::string> hosts;
    for (const auto& seed : value.vm().seed_peers_)
    {
        hosts.insert(host_of(seed));
    }
    if (hosts.empty())
    {
        hosts.insert(host_of(own_address));
    }
    std::vector<std::string> addresses;
    for (const auto& host : hosts)
    {
        if (addresses.size() < max_grantors)
        {
            addresses.push_back(host + port_suffix(own_address));
        }
    }
    return addresses;
}

bool is_grantor(const settings& value)
{
    const auto addresses = grantor_addresses(value);
    return std::find(addresses.begin(),
                     addresses.end(),
                     value.listen().grants_) != addresses.end();
}

limit_bounds limit_bounds_of(const settings& value)
{
    const auto& section = value.fleet_limits();
    limit_bounds bounds;
    bounds.account_window_ =
        milliseconds(section.account_window_s_ * milliseconds_per_second);
    bounds.account_overrun_ = section.account_overrun_;
    bounds.account_slack_ = section.account_slack_;
    bounds.cold_overrun_ = section.cold_overrun_;
    bounds.cold_slack_ = section.cold_slack_;
    return bounds;
}

} // namespace anvilturn
