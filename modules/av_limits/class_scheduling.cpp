#include <av_limits/class_scheduling.hpp>

namespace anvilturn
{

namespace
{

// How often in a row each class may be skipped while it has calls waiting; then
// it is served first. Unused for the highest class, which is skipped only when
// a lower one has reached its number.
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

std::optional<traffic_class> next_class(class_skip_counts& skips,
                                        const class_counts& waiting) noexcept
{
    auto chosen = highest_waiting_class(waiting);
    if (!chosen)
    {
        return std::nullopt;
    }
    for (std::size_t i = waiting.size(); i-- > *chosen + 1;)
    {
        if (waiting[i] > 0 && skips.skips_[i] >= max_skips[i])
        {
            chosen = i;
            break;
        }
    }
    for (std::size_t i = 0; i < waiting.size(); ++i)
    {
        const bool was_skipped = waiting[i] > 0 && i != *chosen;
        skips.skips_[i] = was_skipped ? skips.skips_[i] + 1 : 0;
    }
    return static_cast<traffic_class>(*chosen);
}

} // namespace anvilturn
