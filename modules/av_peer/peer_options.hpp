#ifndef AV_PEER_PEER_OPTIONS_HPP
#define AV_PEER_PEER_OPTIONS_HPP

#include <av_core/comparison.hpp>

#include <av_core/milliseconds.hpp>

#include <cstddef>
#include <string>
#include <tuple>

namespace anvilturn
{

// The addresses, time limits and size limits of a peer_endpoint.
struct peer_options
{
    // IP address and port. Port 0 chooses a free port.
    std::string listen_address_;
    // Name of the deployment; calls and replies of any other are refused.
    std::string deployment_;
    // Time limit of an exchange or a pushed update, including connecting.
    milliseconds call_timeout_{1000.0};
    // Time limit of fetching a release, including connecting.
    milliseconds fetch_timeout_{3000.0};
    // Time limit from accepting a connection to its first valid call, after
    // which the connection is closed.
    milliseconds first_call_timeout_{10000.0};
    // Time without a valid call after which an accepted connection is closed.
    milliseconds idle_timeout_{300000.0};
    // Maximum number of accepted connections, and of outgoing ones. Further
    // accepted ones are closed at once; a further outgoing one closes the least
    // recently used.
    std::size_t connection_limit_ = 1024;
    // Size limits, in bytes, of calls from peers and of their replies, which
    // may hold a release. Longer ones are refused.
    std::size_t message_limit_bytes_ = 256 * 1024;
    std::size_t release_limit_bytes_ = 2 * 1024 * 1024;

    // Returns all members, for comparison.
    auto tie() const
    {
        return std::tie(listen_address_,
                        deployment_,
                        call_timeout_,
                        fetch_timeout_,
                        first_call_timeout_,
                        idle_timeout_,
                        connection_limit_,
                        message_limit_bytes_,
                        release_limit_bytes_);
    }
};

} // namespace anvilturn

#endif
