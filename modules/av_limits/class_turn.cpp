#include <av_limits/class_turn.hpp>

namespace anvilturn
{

namespace
{

// Number of calls of higher classes that may be served in a row before a
// waiting call of the class is served. Unused for the highest class, which
// waits only while a lower one takes its turn.
constexpr std::array<int, traffic_class_count> passes_allowed{0, 9, 29};

std::optional<std::size_t> highest_waiting(const class_counts& waiting) noexcept
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

std::optional<traffic_class> next_class(class_turn& turn,
                                        const class_counts& waiting) noexcept
{
    auto chosen = highest_waiting(waiting);
    if (!chosen)
    {
        return std::nullopt;
    }
    for (std::size_t i = waiting.size(); i-- > *chosen + 1;)
    {
        if (waiting[i] > 0 && turn.passed_over_[i] >= passes_allowed[i])
        {
            chosen = i;
            break;
        }
    }
    for (std::size_t i = 0; i < waiting.size(); ++i)
    {
        const bool was_passed_over = waiting[i] > 0 && i != *chosen;
        turn.passed_over_[i] = was_passed_over ? turn.passed_over_[i] + 1 : 0;
    }
    return static_cast<traffic_class>(*chosen);
}

} // namespace anvilturn
