#ifndef AV_PEER_PEER_MAILBOX_HPP
#define AV_PEER_PEER_MAILBOX_HPP

#include <functional>
#include <mutex>
#include <vector>

namespace anvilturn
{

// A queue through which any thread passes tasks to the endpoint's thread, which
// waits for the descriptor to become readable.
class peer_mailbox
{
public:
    peer_mailbox();
    ~peer_mailbox();

    peer_mailbox(const peer_mailbox&) = delete;
    peer_mailbox& operator=(const peer_mailbox&) = delete;

    // Appends a task.
    void post(std::function<void()> work);

    // Removes and returns all queued tasks.
    std::vector<std::function<void()>> take();

    // Returns the eventfd, which is readable once a task was posted. Each read
    // takes eight bytes and resets it.
    int descriptor() const noexcept;

private:
    std::mutex mutex_;
    std::vector<std::function<void()>> work_;
    int descriptor_;
};

} // namespace anvilturn

#endif
