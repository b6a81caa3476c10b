#include <av_proxy/freshness.hpp>

namespace anvilturn
{

bool was_paused(milliseconds last_seen, milliseconds now)
{
    return now - last_seen > pause_threshold;
}

bool may_dispatch_to(const freshness_input& input)
{
    if (input.resumed_at_.count() < 0.0)
    {
        return true;
    }
    if (input.refreshed_at_ > input.resumed_at_ ||
        input.answered_at_ > input.resumed_at_)
    {
        return true;
    }
    const auto waited = input.now_ - input.resumed_at_;
    return input.isolated_ ? waited >= isolated_refresh_timeout
                           : waited >= refresh_timeout;
}

} // namespace anvilturn
