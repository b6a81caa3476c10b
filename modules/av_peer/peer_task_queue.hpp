#ifndef AV_PEER_PEER_TASK_QUEUE_HPP
#define AV_PEER_PEER_TASK_QUEUE_HPP

#include <functional>
#include <mutex>
#include <vector>

namespace anvilturn
{

// A queue through which any thread passes tasks to the endpoint's thread, which
// waits for the descriptor to become readable.
class peer_task_queue
{
public:
    peer_task_queue();
    ~peer_task_queue();

    peer_task_queue(const peer_task_queue&) = delete;
    peer_task_queue& operator=(const peer_task_queue&) = delete;

    // Appends a task.
    void post(std::function<void()> task);

    // Removes and returns all queued tasks.
    std::vector<std::function<void()>> take_all();

    // Returns the eventfd, which is readable once a task was posted. Each read
    // takes eight bytes and resets it.
    int descriptor() const noexcept;

private:
    std::mutex mutex_;
    std::vector<std::function<void()>> tasks_;
    int descriptor_;
};

} // namespace anvilturn

#endif
