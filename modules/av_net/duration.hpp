#ifndef AV_NET_DURATION_HPP
#define AV_NET_DURATION_HPP

#include <av_core/milliseconds.hpp>

#include <chrono>

namespace anvilturn
{

// Converts milliseconds to the duration type of Asio's timers.
inline std::chrono::steady_clock::duration to_duration(milliseconds value)
{
    return std::chrono::duration_cast<std::chrono::steady_clock::duration>(
        std::chrono::duration<double, std::milli>(value.count()));
}

} // namespace anvilturn

#endif
