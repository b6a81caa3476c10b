#include <av_limits/start_schedule.hpp>

#include <algorithm>

namespace anvilturn
{
namespace
{

bool is_in_time(milliseconds latest_start,
                const start_schedule& schedule,
                std::size_t calls_ahead) noexcept
{
    return start_of(schedule, calls_ahead) < latest_start;
}

// Returns the latest starts of the calls that can start in time.
std::vector<milliseconds>
calls_in_time(const std::vector<milliseconds>& latest_starts,
              const start_schedule& schedule)
{
    std::vector<milliseconds> result;
    for (const auto& latest_start : latest_starts)
    {
        if (is_in_time(latest_start, schedule, result.size()))
        {
            result.push_back(latest_start);
        }
    }
    return result;
}

} // namespace

milliseconds latest_start(milliseconds deadline,
                          milliseconds work_time) noexcept
{
    return deadline - work_time;
}

milliseconds wait_behind(const start_schedule& schedule,
                         std::size_t calls_ahead) noexcept
{
    return schedule.interval_ * static_cast<double>(calls_ahead);
}

milliseconds start_of(const start_schedule& schedule,
                      std::size_t calls_ahead) noexcept
{
    return schedule.now_ + wait_behind(schedule, calls_ahead);
}

std::vector<std::size_t>
calls_too_late(const std::vector<milliseconds>& latest_starts,
               const start_schedule& schedule)
{
    std::vector<std::size_t> result;
    for (std::size_t index = 0; index < latest_starts.size(); ++index)
    {
        const auto calls_ahead = index - result.size();
        if (!is_in_time(latest_starts[index], schedule, calls_ahead))
        {
            result.push_back(index);
        }
    }
    return result;
}

bool has_place_for(milliseconds latest_start,
                   const std::vector<milliseconds>& latest_starts,
                   const start_schedule& schedule)
{
    auto order = calls_in_time(latest_starts, schedule);
    const auto place =
        std::upper_bound(order.begin(), order.end(), latest_start);
    order.insert(place, latest_start);
    return calls_too_late(order, schedule).empty();
}

} // namespace anvilturn
