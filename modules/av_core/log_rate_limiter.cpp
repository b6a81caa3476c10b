#include <av_core/log_rate_limiter.hpp>

#include <algorithm>

namespace anvilturn
{
namespace
{

constexpr double milliseconds_per_second = 1000.0;
constexpr milliseconds drop_report_interval(200.0);

} // namespace

bool admit_line(log_rate_limiter& limiter,
                std::string_view event,
                bool urgent,
                milliseconds now)
{
    const double refill = std::max(0.0, (now - limiter.refilled_at_).count()) *
                          log_lines_per_second / milliseconds_per_second;
    limiter.refilled_at_ = now;
    limiter.routine_tokens_ =
        std::min(log_line_burst, limiter.routine_tokens_ + refill);
    limiter.urgent_tokens_ =
        std::min(log_line_burst, limiter.urgent_tokens_ + refill);
    auto& tokens = urgent ? limiter.urgent_tokens_ : limiter.routine_tokens_;
    if (tokens < 1.0)
    {
        count_dropped_line(limiter, event);
        return false;
    }
    tokens -= 1.0;
    return true;
}

void count_dropped_line(log_rate_limiter& limiter, std::string_view event)
{
    const auto known = limiter.dropped_lines_.find(event);
    if (known != limiter.dropped_lines_.end())
    {
        ++known->second;
        return;
    }
    limiter.dropped_lines_.emplace(std::string(event), 1);
}

std::optional<std::pair<std::string, std::uint64_t>>
take_dropped_lines(log_rate_limiter& limiter, milliseconds now)
{
    if (limiter.dropped_lines_.empty() ||
        now - limiter.reported_at_ < drop_report_interval)
    {
        return std::nullopt;
    }
    limiter.reported_at_ = now;
    const auto first = limiter.dropped_lines_.begin();
    std::pair<std::string, std::uint64_t> result(first->first, first->second);
    limiter.dropped_lines_.erase(first);
    return result;
}

} // namespace anvilturn
