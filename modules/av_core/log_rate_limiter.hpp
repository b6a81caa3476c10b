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

// Limits the rate of log lines of a process by two token buckets: one for
// routine lines and one for urgent lines (warnings and errors), so that many
// routine lines do not cause urgent ones to be dropped. Counts dropped lines by
// event. Points in time are of the monotonic clock.
struct log_rate_limiter
{
    double routine_tokens_ = 200.0;
    double urgent_tokens_ = 200.0;
    milliseconds refilled_at_;
    std::map<std::string, std::uint64_t, std::less<>> dropped_lines_;
    milliseconds reported_at_;
};

// Refill rate and capacity of each of the two buckets, in lines.
constexpr double log_lines_per_second = 150.0;
constexpr double log_line_burst = 300.0;

// Returns whether a line may be written now, and takes a token for it;
// otherwise counts the line as dropped.
bool admit_line(log_rate_limiter& limiter,
                std::string_view event,
                bool urgent,
                milliseconds now);

// Counts a dropped line of the event. admit_line does so for lines over the
// rate; call this for lines dropped for other reasons.
void count_dropped_line(log_rate_limiter& limiter, std::string_view event);

// Returns an event and the number of its lines that were dropped since it was
// last returned, and resets that number. Returns nothing if no lines were
// dropped, or within 200 ms of the previous result.
std::optional<std::pair<std::string, std::uint64_t>>
take_dropped_lines(log_rate_limiter& limiter, milliseconds now);

} // namespace anvilturn

#endif
