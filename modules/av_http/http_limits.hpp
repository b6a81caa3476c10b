#ifndef AV_HTTP_HTTP_LIMITS_HPP
#define AV_HTTP_HTTP_LIMITS_HPP

#include <av_core/comparison.hpp>

#include <cstddef>
#include <cstdint>
#include <tuple>

namespace anvilturn
{

// Maximum sizes of a message; a larger one is refused.
struct http_limits
{
    // Start line and header fields together, in bytes.
    std::size_t header_bytes_ = 16 * 1024;
    // Body of a request, in bytes. Bodies of responses have no limit.
    std::uint64_t body_bytes_ = 64 * 1024 * 1024;

    // Returns all members, for comparison.
    auto tie() const
    {
        return std::tie(header_bytes_, body_bytes_);
    }
};

} // namespace anvilturn

#endif
