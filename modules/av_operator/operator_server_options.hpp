#ifndef AV_OPERATOR_OPERATOR_SERVER_OPTIONS_HPP
#define AV_OPERATOR_OPERATOR_SERVER_OPTIONS_HPP

#include <av_core/comparison.hpp>
#include <av_core/milliseconds.hpp>

#include <cstddef>
#include <string>
#include <tuple>

namespace anvilturn
{

// Address and limits of an operator_server.
struct operator_server_options
{
    // IP address and port; port 0 means any free port.
    std::string address_;
    // Connections beyond the limit are closed at once.
    std::size_t connection_limit_ = 64;
    // Start line and header fields of a request, in bytes.
    std::size_t header_limit_ = 8192;
    // Body of a request, in bytes; a release note has 1 MB at most.
    std::size_t body_limit_ = 1'000'000;
    // For receiving a whole request, and for sending a whole response.
    milliseconds transfer_timeout_{10000.0};
    // For an asynchronous handler to provide its response.
    milliseconds handler_timeout_{60000.0};

    // Returns all members, for comparison.
    auto tie() const
    {
        return std::tie(address_,
                        connection_limit_,
                        header_limit_,
                        body_limit_,
                        transfer_timeout_,
                        handler_timeout_);
    }
};

} // namespace anvilturn

#endif
