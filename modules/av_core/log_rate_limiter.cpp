#include <av_core/log_rate_limiter.hpp>

#include <algorithm>

namespace anvilturn
{
namespace
{

constexpr double milliseconds_per_second = 1000.0;
constexpr milliseconds drop_report_interval(200.0);

} // namespace

bool admit_line(log_rate_limiter& budget,
                std::string_view event,
                bool urgent,
                milliseconds now)
{
    const double earned = std::max(0.0, (now - budget.filled_at_).count()) *
                          log_lines_per_second / milliseconds_per_second;
    budget.filled_at_ = now;
    budget.routine_tokens_ =
        std::min(log_line_burst, budget.routine_tokens_ + earned);
    budget.urgent_tokens_ =
        std::min(log_line_burst, budget.urgent_tokens_ + earned);
    auto& tokens = urgent ? budget.urgent_tokens_ : budget.routine_tokens_;
    if (tokens < 1.0)
    {
        count_dropped_line(budget, event);
        return false;
    }
    tokens -= 1.0;
    return true;
}

void count_dropped_line(log_rate_limiter& budget, std::string_view event)
{
    const auto known = budget.dropped_lines_.find(event);
    if (known != budget.dropped_lines_.end())
    {
        ++known->second;
        return;
    }
    budget.dropped_lines_.emplace(std::string(event), 1);
}

std::optional<std::pair<std::string, std::uint64_t>>
take_dropped_lines(log_rate_limiter& budget, milliseconds now)
{
    if (budget.dropped_lines_.empty() ||
        now - budget.reported_at_ < drop_report_interval)
    {
        return std::nullopt;
    }
    budget.reported_at_ = now;
    const auto first = budget.dropped_lines_.begin();
    std::pair<std::string, std::uint64_t> result(first->first, first->second);
    budget.dropped_lines_.erase(first);
    return result;
}

} // namespace anvilturn
