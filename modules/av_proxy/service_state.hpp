#ifndef AV_PROXY_SERVICE_STATE_HPP
#define AV_PROXY_SERVICE_STATE_HPP

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace anvilturn
{

// What the threads of this VM share about one service.
struct service_state
{
    service_state(std::string name, std::size_t thread_count)
        : name_(std::move(name))
        , waiting_(thread_count)
    {
    }

    const std::string name_;
    // Choices made for the service.
    std::atomic<std::uint64_t> choices_{0};
    // Calls that wait in all threads together, and in each.
    std::atomic<int> waiting_calls_total_{0};
    std::vector<std::atomic<int>> waiting_;
};

} // namespace anvilturn

#endif
