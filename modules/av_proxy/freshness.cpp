#include <av_proxy/freshness.hpp>

namespace anvilturn
{

bool was_paused(milliseconds last_seen, milliseconds now)
{
    return now - last_seen > pause_threshold;
}

bool may_dispatch_to(const freshness_input& facts)
{
    if (facts.resumed_at_.count() < 0.0)
    {
        return true;
    }
    if (facts.refreshed_at_ > facts.resumed_at_ ||
        facts.answered_at_ > facts.resumed_at_)
    {
        return true;
    }
    const auto waited = facts.now_ - facts.resumed_at_;
    return facts.isolated_ ? waited >= isolated_refresh_timeout
                           : waited >= refresh_timeout;
}

} // namespace anvilturn
