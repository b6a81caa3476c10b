#ifndef AV_CORE_LOG_RATE_LIMITER_HPP
#define AV_CORE_LOG_RATE_LIMITER_HPP

#include <av_core/milliseconds.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace anvilturn
{

// Bounds the lines that a process logs, as two buckets of tokens: routine lines
// have one, warnings and errors another that is full when routine ones press.
// It counts what is left out by event. Points in time are of the monotonic
// clock.
struct log_rate_limiter
{
    double routine_tokens_ = 200.0;
    double urgent_tokens_ = 200.0;
    milliseconds filled_at_;
    std::map<std::string, std::uint64_t, std::less<>> dropped_lines_;
    milliseconds reported_at_;
};

// Lines a second of each kind, and how many may come at once.
constexpr double log_lines_per_second = 150.0;
constexpr double log_line_burst = 300.0;

// Returns whether a line may be written now; if not, it is counted.
bool admit_line(log_rate_limiter& budget,
                std::string_view event,
                bool urgent,
                milliseconds now);

// Counts a line that could not be written for another reason.
void count_dropped_line(log_rate_limiter& budget, std::string_view event);

// Returns an event and how many of its lines were left out since it was last
// returned, at most one for each period; nothing if there is none.
std::optional<std::pair<std::string, std::uint64_t>>
take_dropped_lines(log_rate_limiter& budget, milliseconds now);

} // namespace anvilturn

#endif
