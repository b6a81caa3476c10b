#include <av_limits/class_scheduling.hpp>

namespace anvilturn
{

namespace
{

// Starts of higher classes after which one of the class goes first. The
// highest class has no such share: it waits only for these turns.
constexpr std::array<int, traffic_class_count> max_skips{0, 9, 29};

std::optional<std::size_t>
highest_waiting_class(const class_counts& waiting) noexcept
{
    for (std::size_t i = 0; i < waiting.size(); ++i)
    {
        if (waiting[i] > 0)
        {
            return i;
        }
    }
    return std::nullopt;
}

} // namespace

std::optional<traffic_class> next_class(class_skip_counts& turn,
                                        const class_counts& waiting) noexcept
{
    auto chosen = highest_waiting_class(waiting);
    if (!chosen)
    {
        return std::nullopt;
    }
    for (std::size_t i = waiting.size(); i-- > *chosen + 1;)
    {
        if (waiting[i] > 0 && turn.skips_[i] >= max_skips[i])
        {
            chosen = i;
            break;
        }
    }
    for (std::size_t i = 0; i < waiting.size(); ++i)
    {
        const bool was_skipped = waiting[i] > 0 && i != *chosen;
        turn.skips_[i] = was_skipped ? turn.skips_[i] + 1 : 0;
    }
    return static_cast<traffic_class>(*chosen);
}

} // namespace anvilturn
