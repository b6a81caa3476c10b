#ifndef AV_LIMITS_CALL_QUEUE_HPP
#define AV_LIMITS_CALL_QUEUE_HPP

#include <av_core/milliseconds.hpp>
#include <av_limits/class_scheduling.hpp>
#include <av_model/traffic_class.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <iterator>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace anvilturn
{

// Identifies a waiting call within its queue; never reused within a queue.
using queue_ticket = std::uint64_t;

// Queue of the calls of one service that wait at this VM for a slot of a
// target. Higher classes are served first; lower ones keep a small share so
// that they are not starved (see class_scheduling.hpp). Within a class the call
// that must start soonest to meet its deadline is first, then the one that came
// first; no call is starved, since each becomes the most urgent one in the end.
// A queue is used by one thread. Call is any movable type, such as a shared
// pointer.
template <typename Call>
class call_queue
{
public:
    // The limit is the number of calls that may wait, all classes together.
    explicit call_queue(std::size_t limit)
        : limit_(limit)
    {
    }

    // Changes the limit. Calls beyond a lowered limit stay queued until they
    // are served or otherwise removed.
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

    // Returns the latest start of each waiting call of the class, in the order
    // in which they are served.
    std::vector<milliseconds> latest_starts(traffic_class value) const
    {
        std::vector<milliseconds> result;
        for (const auto& entry : calls_[static_cast<std::size_t>(value)])
        {
            result.push_back(entry.first);
        }
        return result;
    }

    // Returns the number of waiting calls of the class that would be served
    // before a new one with this latest start.
    std::size_t size_ahead_of(traffic_class value,
                              milliseconds latest_start) const
    {
        const auto& calls = calls_[static_cast<std::size_t>(value)];
        return static_cast<std::size_t>(
            std::distance(calls.begin(), calls.upper_bound(latest_start)));
    }

    // Returns whether a call of the class can be queued. A full queue still
    // accepts a call if a waiting call of a lower class can be displaced.
    bool accepts(traffic_class value) const noexcept
    {
        return size() < limit_ || lowest_waiting_below(value).has_value();
    }

    // Adds a call and returns its ticket. Check accepts() first; afterwards
    // call displace() while is_over_limit() returns true. The latest start is
    // the time on the monotonic clock after which the call would miss its
    // deadline.
    queue_ticket push(Call call, traffic_class value, milliseconds latest_start)
    {
        const auto ticket = ++last_ticket_;
        auto& calls = calls_[static_cast<std::size_t>(value)];
        const auto entry =
            calls.emplace(latest_start, waiting_call{std::move(call), ticket});
        entries_by_ticket_.emplace(ticket, position{value, entry});
        return ticket;
    }

    bool is_over_limit() const noexcept
    {
        return size() > limit_;
    }

    // Removes and returns the call with the most time left of the lowest class
    // that waits; refuse it as not run, since a call of a higher class took its
    // place. Returns nothing if the queue is empty.
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

    // Returns the call that pop would remove; null if none waits.
    const Call* peek() const
    {
        auto skips = class_skips_;
        const auto value = next_class(
            skips, {calls_[0].size(), calls_[1].size(), calls_[2].size()});
        return value ? &calls_[static_cast<std::size_t>(*value)]
                            .begin()
                            ->second.call_
                     : nullptr;
    }

    // Removes and returns the next call in scheduling order; nothing if none
    // waits.
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

    // Removes and returns all calls whose latest start is at or before the
    // point in time; refuse them as not run, so that calls which can't be
    // answered in time do not use a slot.
    std::vector<Call> take_expired(milliseconds point)
    {
        std::vector<Call> result;
        for (std::size_t i = 0; i < traffic_class_count; ++i)
        {
            while (!calls_[i].empty() && calls_[i].begin()->first <= point)
            {
                result.push_back(take(calls_[i].begin(), i));
            }
        }
        return result;
    }

    // Removes and returns the calls of the class at these positions, which are
    // in rising order.
    std::vector<Call> take(traffic_class value,
                           const std::vector<std::size_t>& positions)
    {
        const auto index = static_cast<std::size_t>(value);
        std::vector<Call> result;
        auto entry = calls_[index].begin();
        std::size_t at = 0;
        for (const auto wanted : positions)
        {
            std::advance(entry, wanted - at);
            at = wanted + 1;
            const auto here = entry++;
            result.push_back(take(here, index));
        }
        return result;
    }

    // Removes and returns the call of the ticket after its caller has
    // disconnected; nothing if it has already left the queue.
    std::optional<Call> withdraw(queue_ticket ticket)
    {
        const auto found = entries_by_ticket_.find(ticket);
        if (found == entries_by_ticket_.end())
        {
            return std::nullopt;
        }
        const auto entry_position = found->second;
        return take(entry_position.entry_,
                    static_cast<std::size_t>(entry_position.class_));
    }

private:
    struct waiting_call
    {
        Call call_;
        queue_ticket ticket_ = 0;
    };

    // By latest start.
    using call_list = std::multimap<milliseconds, waiting_call>;

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
        Call call = std::move(entry->second.call_);
        entries_by_ticket_.erase(entry->second.ticket_);
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
