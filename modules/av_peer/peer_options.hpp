#ifndef AV_PEER_PEER_OPTIONS_HPP
#define AV_PEER_PEER_OPTIONS_HPP

#include <av_core/comparison.hpp>

#include <av_core/milliseconds.hpp>

#include <cstddef>
#include <string>
#include <tuple>

namespace anvilturn
{

// How a peer_endpoint listens and what it tolerates.
struct peer_options
{
    // IP number and port. Port 0 takes a free one.
    std::string listen_address_;
    // Peers of another deployment are refused.
    std::string deployment_;
    // Time limit of an exchange or of news, connecting included.
    milliseconds call_timeout_{1000.0};
    // Time limit of fetching a release.
    milliseconds fetch_timeout_{3000.0};
    // A connection without a valid call for this long is closed.
    milliseconds first_call_timeout_{10000.0};
    milliseconds idle_timeout_{300000.0};
    // Connections that are accepted at once.
    std::size_t connection_limit_ = 1024;
    // Longer messages from peers are refused; in bytes.
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
