#ifndef AV_MODEL_COLD_TIME_HPP
#define AV_MODEL_COLD_TIME_HPP

#include <av_core/milliseconds.hpp>

namespace anvilturn
{

// Longest time for which a target counts as cold. One with a longer warm-up
// time would practically never be used.
constexpr milliseconds max_cold_time{600'000.0};

} // namespace anvilturn

#endif
