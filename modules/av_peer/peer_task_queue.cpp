#include <av_peer/peer_task_queue.hpp>

#include <cstdint>
#include <system_error>
#include <utility>

#include <sys/eventfd.h>
#include <unistd.h>

namespace anvilturn
{

peer_task_queue::peer_task_queue()
    : descriptor_(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK))
{
    if (descriptor_ < 0)
    {
        throw std::system_error(
            errno, std::generic_category(), "eventfd for the peer endpoint");
    }
}

peer_task_queue::~peer_task_queue()
{
    close(descriptor_);
}

void peer_task_queue::post(std::function<void()> work)
{
    bool was_empty = false;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        was_empty = work_.empty();
        work_.push_back(std::move(work));
    }
    if (was_empty)
    {
        const std::uint64_t one = 1;
        // It fails only when the count is at its maximum; then the descriptor
        // is readable anyway.
        static_cast<void>(write(descriptor_, &one, sizeof one) > 0);
    }
}

std::vector<std::function<void()>> peer_task_queue::take()
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return std::exchange(work_, {});
}

int peer_task_queue::descriptor() const noexcept
{
    return descriptor_;
}

} // namespace anvilturn
