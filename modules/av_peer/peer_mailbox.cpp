#include <av_peer/peer_mailbox.hpp>

#include <cstdint>
#include <system_error>
#include <utility>

#include <sys/eventfd.h>
#include <unistd.h>

namespace anvilturn
{

peer_mailbox::peer_mailbox()
    : descriptor_(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK))
{
    if (descriptor_ < 0)
    {
        throw std::system_error(
            errno,
            std::generic_category(),
            "cannot create the eventfd of the peer endpoint");
    }
}

peer_mailbox::~peer_mailbox()
{
    close(descriptor_);
}

void peer_mailbox::post(std::function<void()> work)
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
        // The write fails only if the eventfd counter is at its maximum, in
        // which case the descriptor is readable already.
        static_cast<void>(write(descriptor_, &one, sizeof one) > 0);
    }
}

std::vector<std::function<void()>> peer_mailbox::take()
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return std::exchange(work_, {});
}

int peer_mailbox::descriptor() const noexcept
{
    return descriptor_;
}

} // namespace anvilturn
