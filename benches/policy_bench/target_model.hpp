#ifndef POLICY_BENCH_TARGET_MODEL_HPP
#define POLICY_BENCH_TARGET_MODEL_HPP

#include <av_model/load_report.hpp>

#include <algorithm>
#include <deque>
#include <optional>
#include <vector>

// A target: slots, a queue in order of arrival, and pauses that stop all of its
// calls. Calls are numbers. The owner plays the events.
class target_model
{
public:
    explicit target_model(int slots)
        : slots_(slots)
    {
    }

    // Adds a call to the queue.
    void enqueue(int call)
    {
        waiting_.push_back(call);
    }

    // Takes the next call that can start now; nothing if none can.
    std::optional<int> start_next(double now_ms)
    {
        if (waiting_.empty() || !has_free_slot() || is_stalled(now_ms))
        {
            return std::nullopt;
        }
        const int call = waiting_.front();
        waiting_.pop_front();
        running_.push_back(call);
        return call;
    }

    void finish(int call)
    {
        running_.erase(std::find(running_.begin(), running_.end(), call));
    }

    // Takes a cancelled call out, wherever it is.
    void cancel(int call)
    {
        running_.erase(std::remove(running_.begin(), running_.end(), call),
                       running_.end());
        waiting_.erase(std::remove(waiting_.begin(), waiting_.end(), call),
                       waiting_.end());
    }

    void stall(double until_ms)
    {
        stalled_until_ms_ = std::max(stalled_until_ms_, until_ms);
    }

    bool is_stalled(double now_ms) const
    {
        return now_ms < stalled_until_ms_;
    }

    bool has_free_slot() const
    {
        return running_.size() < static_cast<std::size_t>(slots_);
    }

    // Whether a call that comes now would start at once.
    bool can_start_at_once(double now_ms) const
    {
        return has_free_slot() && waiting_.empty() && !is_stalled(now_ms);
    }

    const std::vector<int>& running() const
    {
        return running_;
    }

    anvilturn::load_report report() const
    {
        anvilturn::load_report result;
        result.busy_slots_ = static_cast<int>(running_.size());
        result.queued_calls_ = static_cast<int>(waiting_.size());
        result.slots_ = slots_;
        return result;
    }

private:
    int slots_;
    double stalled_until_ms_ = 0.0;
    std::vector<int> running_;
    std::deque<int> waiting_;
};

#endif
