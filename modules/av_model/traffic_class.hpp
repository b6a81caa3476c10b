#ifndef AV_MODEL_TRAFFIC_CLASS_HPP
#define AV_MODEL_TRAFFIC_CLASS_HPP

#include <cstddef>
#include <optional>
#include <string_view>

namespace anvilturn
{

// The traffic classes, highest priority first. The priority applies when a
// service has too few slots.
enum class traffic_class
{
    // Bookings, deposits and orders.
    transactional,
    // A user waits: availability, stock and catalogue look-ups.
    interactive,
    // Can be delayed: proofs, archives, reports.
    bulk
};

constexpr std::size_t traffic_class_count = 3;

// Returns the name used in settings, logs and metrics.
std::string_view name_of(traffic_class value) noexcept;

// Returns the class with that name, or nothing if there is none.
std::optional<traffic_class> parse_traffic_class(std::string_view name);

} // namespace anvilturn

#endif
