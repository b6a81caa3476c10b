#include <av_proxy/response_buffer_limit.hpp>

#include <algorithm>

namespace anvilturn
{
namespace
{

// Less would cost a system call for each few bytes.
constexpr std::size_t min_buffer_bytes = 2048;

} // namespace

std::size_t response_buffer_limit(const request_path_settings& settings,
                                  int calls_on_thread) noexcept
{
    const auto calls = static_cast<std::size_t>(std::max(1, calls_on_thread)) *
                       settings.threads_;
    return std::min(
        settings.relay_buffer_bytes_,
        std::max(min_buffer_bytes, settings.relay_memory_bytes_ / calls));
}

} // namespace anvilturn
