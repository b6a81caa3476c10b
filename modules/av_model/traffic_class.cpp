#include <av_model/traffic_class.hpp>

#include <array>

namespace anvilturn
{
namespace
{

constexpr std::array<std::string_view, traffic_class_count> names = {
    "transactional", "interactive", "bulk"};

} // namespace

std::string_view name_of(traffic_class value) noexcept
{
    return names[static_cast<std::size_t>(value)];
}

std::optional<traffic_class> parse_traffic_class(std::string_view name)
{
    for (std::size_t i = 0; i < names.size(); ++i)
    {
        if (names[i] == name)
        {
            return static_cast<traffic_class>(i);
        }
    }
    return std::nullopt;
}

} // namespace anvilturn
