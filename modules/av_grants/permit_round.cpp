#include <av_grants/permit_round.hpp>

#include <algorithm>

namespace anvilturn
{
namespace
{

void ask_from_first(client_limit& limit)
{
    limit.position_ = 0;
    limit.missed_grantors_ = 0;
    limit.refusing_grantors_ = 0;
}

} // namespace

void begin_round(client_limit& limit)
{
    ask_from_first(limit);
    limit.is_asking_ = true;
    limit.refused_without_reserve_ = false;
    limit.is_reserve_round_ = false;
    limit.retry_at_.reset();
}

bool has_reserve(const client_limit& limit)
{
    return limit.missed_grantors_ > 0 && limit.refused_without_reserve_ &&
           !limit.is_reserve_round_;
}

bool has_next_grantor(const client_limit& limit,
                      const std::vector<bool>& skipped,
                      milliseconds now)
{
    const bool opens_reserve =
        limit.refused_without_reserve_ && !limit.is_reserve_round_;
    if (limit.key_.kind_ != limit_kind::account || opens_reserve)
    {
        return true;
    }
    return std::any_of(
        limit.order_.begin() + static_cast<std::ptrdiff_t>(limit.position_),
        limit.order_.end(),
        [&](std::size_t index)
        {
            return !skipped[index] && (limit.is_reserve_round_ ||
                                       limit.refusals_[index].until_ <= now);
        });
}

void begin_reserve_round(client_limit& limit)
{
    ask_from_first(limit);
    limit.is_reserve_round_ = true;
}

void record_refusal(client_limit& limit, milliseconds retry_at)
{
    ++limit.refusing_grantors_;
    limit.retry_at_ = std::min(limit.retry_at_.value_or(retry_at), retry_at);
}

permit_answer end_round(client_limit& limit, milliseconds now)
{
    limit.is_asking_ = false;
    // If most grantors could not be reached, the refusal of the others says
    // little: one that has just started has no permits yet.
    const bool is_over_limit =
        limit.retry_at_ && limit.missed_grantors_ <= limit.refusing_grantors_;
    permit_answer answer;
    answer.retry_after_ = unreachable_retry_interval;
    if (is_over_limit)
    {
        answer.result_ = permit_result::over_limit;
        answer.retry_after_ =
            std::max(*limit.retry_at_ - now, milliseconds(0.0));
        limit.stock_.refused_until_ =
            now + std::min(answer.retry_after_, max_refusal_time);
    }
    return answer;
}

} // namespace anvilturn
