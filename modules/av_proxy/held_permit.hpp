// Private to av_proxy.

#ifndef AV_PROXY_HELD_PERMIT_HPP
#define AV_PROXY_HELD_PERMIT_HPP

#include <av_core/milliseconds.hpp>
#include <av_quota/limit_key.hpp>

#include <optional>

namespace anvilturn
{

// A permit that a call has taken from the permit client of its thread. It is
// spent once the call was sent, and unspent again if the target refused it.
struct held_permit
{
    limit_key key_;
    milliseconds expires_at_{0.0};
    bool spent_ = false;
};

// Returns whether a call may be sent with the permit now.
inline bool is_valid(const std::optional<held_permit>& permit, milliseconds now)
{
    return permit && !permit->spent_ && now < permit->expires_at_;
}

} // namespace anvilturn

#endif
