#include <av_proxy/target_refusal.hpp>

namespace anvilturn
{
namespace
{

constexpr int timeout_status = 408;
constexpr int misdirected_status = 421;
constexpr int too_many_status = 429;
constexpr int first_failed_status = 500;
constexpr int busy_status = 503;
constexpr auto relaxed = std::memory_order_relaxed;

} // namespace

std::optional<error_kind> refusal_of(const response_head& head,
                                     const header_dialect& dialect)
{
    if (head.status_ == misdirected_status && !dialect.expected_target_.empty())
    {
        return error_kind::target_moved;
    }
    const bool has_busy_status =
        head.status_ == busy_status || head.status_ == too_many_status;
    return head.not_run_ && has_busy_status
               ? std::optional<error_kind>(error_kind::target_refused)
               : std::nullopt;
}

void record_refusal_by(target_state& target,
                       int slots,
                       const response_head& head,
                       milliseconds now)
{
    if (head.status_ == misdirected_status)
    {
        target.address_taken_over_.store(true, relaxed);
    }
    else if (!head.draining_)
    {
        record_refusal(target, slots);
        record_result(target, true, now);
    }
}

bool promises_not_run(int status) noexcept
{
    return status == timeout_status || status == misdirected_status ||
           status == too_many_status || status == busy_status;
}

bool is_conclusive(int status) noexcept
{
    return status < first_failed_status && !promises_not_run(status);
}

} // namespace anvilturn
