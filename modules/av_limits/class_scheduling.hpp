#ifndef AV_LIMITS_CLASS_SCHEDULING_HPP
#define AV_LIMITS_CLASS_SCHEDULING_HPP

#include <av_model/traffic_class.hpp>

#include <array>
#include <cstddef>
#include <optional>

namespace anvilturn
{

// Counts how often a lower class was passed over while it had calls waiting.
struct class_skip_counts
{
    std::array<int, traffic_class_count> skips_{};
};

// Number of calls waiting in each class.
using class_counts = std::array<std::size_t, traffic_class_count>;

// Returns the class whose call goes next and updates the turn: the highest
// class that waits, except that a lower one which was passed over a fixed
// number of times in a row goes first. So interactive calls keep about one
// start in ten and bulk calls one in thirty under any load of the classes
// above them. Nothing if no call waits.
std::optional<traffic_class> next_class(class_skip_counts& turn,
                                        const class_counts& waiting) noexcept;

} // namespace anvilturn

#endif
