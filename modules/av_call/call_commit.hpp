#ifndef AV_CALL_CALL_COMMIT_HPP
#define AV_CALL_CALL_COMMIT_HPP

#include <atomic>

namespace anvilturn
{

// Whether a queued call was dispatched or refused. The decision is made once
// per call, even if several threads compete for it.
enum class commit_state
{
    queued,
    dispatched,
    refused
};

// Decides once whether a call is dispatched or refused. A deadline, a
// cancellation and a free slot may race on different threads: exactly one of
// them gets true as the result, and only that one may act on the call.
class call_commit
{
public:
    // Returns whether this thread made the decision to dispatch the call.
    bool try_dispatch() noexcept
    {
        return decide(commit_state::dispatched);
    }

    // Returns whether this thread made the decision to refuse the call. A
    // refused call never runs.
    bool try_refuse() noexcept
    {
        return decide(commit_state::refused);
    }

    commit_state state() const noexcept
    {
        return state_.load(std::memory_order_acquire);
    }

    // Returns to queued for the next call. Must not be called while another
    // thread can access this object.
    void reset() noexcept
    {
        state_.store(commit_state::queued, std::memory_order_release);
    }

private:
    bool decide(commit_state decision) noexcept
    {
        auto expected = commit_state::queued;
        return state_.compare_exchange_strong(
            expected, decision, std::memory_order_acq_rel);
    }

    std::atomic<commit_state> state_{commit_state::queued};
};

} // namespace anvilturn

#endif
