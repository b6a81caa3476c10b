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
            errno,
            std::generic_category(),
            "can't create the eventfd of the peer endpoint");
    }
}

peer_task_queue::~peer_task_queue()
{
    close(descriptor_);
}

void peer_task_queue::post(std::function<void()> task)
{
    bool was_empty = false;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        was_empty = tasks_.empty();
        tasks_.push_back(std::move(task));
    }
    if (was_empty)
    {
        const std::uint64_t one = 1;
        // The write fails only if the eventfd counter is at its maximum, in
        // which case the descriptor is readable already.
        static_cast<void>(write(descriptor_, &one, sizeof one) > 0);
    }
}

std::vector<std::function<void()>> peer_task_queue::take_all()
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return std::exchange(tasks_, {});
}

int peer_task_queue::descriptor() const noexcept
{
    return descriptor_;
}

} // namespace anvilturn
