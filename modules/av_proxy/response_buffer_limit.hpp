// Private to av_proxy.

#ifndef AV_PROXY_RESPONSE_BUFFER_LIMIT_HPP
#define AV_PROXY_RESPONSE_BUFFER_LIMIT_HPP

#include <av_proxy/request_path_settings.hpp>

#include <cstddef>

namespace anvilturn
{

// Returns how many bytes of a response this VM may hold back, leave unsent or
// read at once for one call: relay_buffer_bytes_, or less if so many calls run
// on the thread that they would exceed relay_memory_bytes_ together. A target
// may send without end, and its callers may not read.
std::size_t response_buffer_limit(const request_path_settings& settings,
                                  int calls_on_thread) noexcept;

} // namespace anvilturn

#endif
