#ifndef AV_PEER_PEER_TASK_QUEUE_HPP
#define AV_PEER_PEER_TASK_QUEUE_HPP

#include <functional>
#include <mutex>
#include <vector>

namespace anvilturn
{

// Takes work from any thread to the endpoint's thread, which waits for the
// descriptor to become readable.
class peer_task_queue
{
public:
    peer_task_queue();
    ~peer_task_queue();

    peer_task_queue(const peer_task_queue&) = delete;
    peer_task_queue& operator=(const peer_task_queue&) = delete;

    // Adds one piece of work.
    void post(std::function<void()> work);

    // Returns all work so far and forgets it.
    std::vector<std::function<void()>> take();

    // Returns the descriptor: an eventfd, eight bytes at each read.
    int descriptor() const noexcept;

private:
    std::mutex mutex_;
    std::vector<std::function<void()>> work_;
    int descriptor_;
};

} // namespace anvilturn

#endif
