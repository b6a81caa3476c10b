#ifndef AV_LIMITS_CALL_QUEUE_HPP
#define AV_LIMITS_CALL_QUEUE_HPP

#include <av_core/milliseconds.hpp>
#include <av_limits/class_scheduling.hpp>
#include <av_model/traffic_class.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <iterator>
#include <list>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace anvilturn
{

// Names one waiting call in its queue; never reused within a queue.
using queue_ticket = std::uint64_t;

// Calls of one service that wait at this VM for a slot of a target. Higher
// classes go first, lower ones keep a small share so that they are not starved
// (see class_turn); within a class the order is that of arrival. One thread
// owns a queue. Call is any movable type, such as a shared pointer.
template <typename Call>
class call_queue
{
public:
    // Limit is the number of calls that may wait, all classes together.
    explicit call_queue(std::size_t limit)
        : limit_(limit)
    {
    }

    // Changes the limit. Calls beyond a lowered limit stay until they leave.
    void set_limit(std::size_t limit) noexcept
    {
        limit_ = limit;
    }

    std::size_t size() const noexcept
    {
        return entries_by_ticket_.size();
    }

    bool empty() const noexcept
    {
        return entries_by_ticket_.empty();
    }

    std::size_t size(traffic_class value) const noexcept
    {
        return calls_[static_cast<std::size_t>(value)].size();
    }

    // Returns the waiting calls that would be served before a new call of the
    // class: those of its own class and of higher ones.
    std::size_t size_ahead_of(traffic_class value) const noexcept
    {
        std::size_t count = 0;
        for (std::size_t i = 0; i <= static_cast<std::size_t>(value); ++i)
        {
            count += calls_[i].size();
        }
        return count;
    }

    // Returns whether a call of the class finds a place. A full queue still
    // takes a call if a lower class has one that can be displaced.
    bool accepts(traffic_class value) const noexcept
    {
        return size() < limit_ || lowest_waiting_below(value).has_value();
    }

    // Adds a call and returns its ticket. Ask accepts first, and displace a
    // call while is_over_limit returns true. The deadline is a point in time of
    // the monotonic clock.
    queue_ticket push(Call call, traffic_class value, milliseconds deadline)
    {
        const auto ticket = ++last_ticket_;
        auto& calls = calls_[static_cast<std::size_t>(value)];
        calls.push_back({std::move(call), ticket, deadline});
        entries_by_ticket_.emplace(ticket,
                                   position{value, std::prev(calls.end())});
        return ticket;
    }

    bool is_over_limit() const noexcept
    {
        return size() > limit_;
    }

    // Takes out the newest call of the lowest class that waits, to be refused
    // as not run because a call of a higher class took its place. Nothing if
    // the queue is empty.
    std::optional<Call> displace()
    {
        for (std::size_t i = traffic_class_count; i-- > 0;)
        {
            if (!calls_[i].empty())
            {
                return take(std::prev(calls_[i].end()), i);
            }
        }
        return std::nullopt;
    }

    // Returns the call that pop would take out; null if none waits.
    const Call* peek() const
    {
        auto turn = class_skips_;
        const auto value = next_class(
            turn, {calls_[0].size(), calls_[1].size(), calls_[2].size()});
        return value ? &calls_[static_cast<std::size_t>(*value)].front().call_
                     : nullptr;
    }

    // Takes out the call whose turn it is; nothing if none waits.
    std::optional<Call> pop()
    {
        const auto value =
            next_class(class_skips_,
                       {calls_[0].size(), calls_[1].size(), calls_[2].size()});
        if (!value)
        {
            return std::nullopt;
        }
        const auto index = static_cast<std::size_t>(*value);
        return take(calls_[index].begin(), index);
    }

    // Takes out all calls whose deadline is not after the point in time, to be
    // refused as not run. Pass now plus the time a call takes at a target, so
    // that calls which can't be answered in time do not use a slot.
    std::vector<Call> take_expired(milliseconds point)
    {
        std::vector<Call> result;
        for (std::size_t i = 0; i < traffic_class_count; ++i)
        {
            for (auto it = calls_[i].begin(); it != calls_[i].end();)
            {
                const auto here = it++;
                if (here->deadline_ <= point)
                {
                    result.push_back(take(here, i));
                }
            }
        }
        return result;
    }

    // Takes out the call of the ticket, whose caller went away; nothing if it
    // left the queue before.
    std::optional<Call> withdraw(queue_ticket ticket)
    {
        const auto found = entries_by_ticket_.find(ticket);
        if (found == entries_by_ticket_.end())
        {
            return std::nullopt;
        }
        const auto there = found->second;
        return take(there.entry_, static_cast<std::size_t>(there.class_));
    }

private:
    struct waiting_call
    {
        Call call_;
        queue_ticket ticket_ = 0;
        milliseconds deadline_{0.0};
    };

    using call_list = std::list<waiting_call>;

    struct position
    {
        traffic_class class_;
        typename call_list::iterator entry_;
    };

    std::optional<traffic_class>
    lowest_waiting_below(traffic_class value) const noexcept
    {
        for (std::size_t i = traffic_class_count;
             i-- > static_cast<std::size_t>(value) + 1;)
        {
            if (!calls_[i].empty())
            {
                return static_cast<traffic_class>(i);
            }
        }
        return std::nullopt;
    }

    Call take(typename call_list::iterator entry, std::size_t index)
    {
        Call call = std::move(entry->call_);
        entries_by_ticket_.erase(entry->ticket_);
        calls_[index].erase(entry);
        return call;
    }

    std::size_t limit_;
    queue_ticket last_ticket_ = 0;
    class_skip_counts class_skips_;
    std::array<call_list, traffic_class_count> calls_;
    std::map<queue_ticket, position> entries_by_ticket_;
};

} // namespace anvilturn

#endif
