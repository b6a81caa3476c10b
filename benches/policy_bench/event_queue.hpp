#ifndef POLICY_BENCH_EVENT_QUEUE_HPP
#define POLICY_BENCH_EVENT_QUEUE_HPP

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

// A binary heap of events ordered by simulated time. Events of equal time are
// processed in the order in which they were added, so that runs are
// exactly reproducible.
template <typename Event>
class event_queue
{
public:
    void add(double time_ms, Event event)
    {
        heap_.push({time_ms, ++last_sequence_number_, std::move(event)});
    }

    bool empty() const
    {
        return heap_.empty();
    }

    double next_time_ms() const
    {
        return heap_.top().time_ms_;
    }

    // Removes and returns the earliest event. The queue must not be empty.
    Event pop()
    {
        Event event = heap_.top().event_;
        heap_.pop();
        return event;
    }

private:
    struct entry
    {
        double time_ms_;
        std::uint64_t sequence_number_;
        Event event_;

        bool operator>(const entry& other) const
        {
            return time_ms_ != other.time_ms_
                       ? time_ms_ > other.time_ms_
                       : sequence_number_ > other.sequence_number_;
        }
    };

    std::priority_queue<entry, std::vector<entry>, std::greater<entry>> heap_;
    std::uint64_t last_sequence_number_ = 0;
};

#endif
