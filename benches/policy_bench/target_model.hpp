#ifndef POLICY_BENCH_TARGET_MODEL_HPP
#define POLICY_BENCH_TARGET_MODEL_HPP

#include <av_model/load_report.hpp>

#include <algorithm>
#include <deque>
#include <optional>
#include <vector>

// A target: slots, a first-in first-out queue, and stalls that pause all of its
// calls. Calls are identified by numbers. The owner processes the events and
// keeps the calls' end times.
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

    // Starts the next queued call and returns its number; nullopt if none can
    // start now.
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

    // Removes a cancelled call, whether it is queued or running.
    void cancel(int call)
    {
        running_.erase(std::remove(running_.begin(), running_.end(), call),
                       running_.end());
        waiting_.erase(std::remove(waiting_.begin(), waiting_.end(), call),
                       waiting_.end());
    }

    // Stalls the target until the given time, or until the end of a longer
    // stall.
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

    // Whether a call that arrives now would start without queueing.
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
