#ifndef AV_PLATFORM_PLATFORM_CLIENT_OPTIONS_HPP
#define AV_PLATFORM_PLATFORM_CLIENT_OPTIONS_HPP

#include <av_core/comparison.hpp>
#include <av_core/milliseconds.hpp>

#include <cstddef>
#include <string>
#include <tuple>

namespace anvilturn
{

// The platform's limit on one value, in bytes.
constexpr std::size_t platform_value_limit = 1'000'000;

// How a platform_client reaches the platform.
struct platform_client_options
{
    // IP address and port, such as "10.0.0.10:9000".
    std::string address_;
    // Time limit of a call, including connecting. For a watch it is added to
    // the time that the watch may wait.
    milliseconds call_timeout_{2000.0};
    // Responses with a longer body, in bytes, are rejected.
    std::size_t body_limit_ = platform_value_limit + 1024;

    // Returns all members, for comparison.
    auto tie() const
    {
        return std::tie(address_, call_timeout_, body_limit_);
    }
};

} // namespace anvilturn

#endif
