#include <av_routing/split_choice.hpp>

#include <cassert>
#include <cmath>

namespace anvilturn
{

std::size_t choose_part(const std::vector<weighted_service>& parts,
                        double phase,
                        std::uint64_t number) noexcept
{
    assert(!parts.empty());
    // Multiples of the golden ratio fill the unit interval evenly at any
    // count.
    constexpr double golden_ratio = 0.6180339887498949;
    double total = 0.0;
    for (const auto& part : parts)
    {
        total += part.weight_;
    }
    double whole = 0.0;
    double left =
        std::modf(phase + golden_ratio * static_cast<double>(number), &whole) *
        total;
    for (std::size_t index = 0; index < parts.size(); ++index)
    {
        if (left < parts[index].weight_)
        {
            return index;
        }
        left -= parts[index].weight_;
    }
    return 0;
}

} // namespace anvilturn
