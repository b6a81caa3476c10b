#include <av_core/log_budget.hpp>

#include <algorithm>

namespace anvilturn
{
namespace
{

constexpr double milliseconds_per_second = 1000.0;
constexpr milliseconds report_period(200.0);

} // namespace

bool admit_line(log_budget& budget,
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
        count_left_out(budget, event);
        return false;
    }
    tokens -= 1.0;
    return true;
}

void count_left_out(log_budget& budget, std::string_view event)
{
    const auto known = budget.left_out_.find(event);
    if (known != budget.left_out_.end())
    {
        ++known->second;
        return;
    }
    budget.left_out_.emplace(std::string(event), 1);
}

std::optional<std::pair<std::string, std::uint64_t>>
take_left_out(log_budget& budget, milliseconds now)
{
    if (budget.left_out_.empty() || now - budget.reported_at_ < report_period)
    {
        return std::nullopt;
    }
    budget.reported_at_ = now;
    const auto first = budget.left_out_.begin();
    std::pair<std::string, std::uint64_t> result(first->first, first->second);
    budget.left_out_.erase(first);
    return result;
}

} // namespace anvilturn
