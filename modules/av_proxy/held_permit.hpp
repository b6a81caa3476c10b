// Private to av_proxy.

#ifndef AV_PROXY_HELD_PERMIT_HPP
#define AV_PROXY_HELD_PERMIT_HPP

#include <av_core/milliseconds.hpp>
#include <av_quota/limit_key.hpp>

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

} // namespace anvilturn

#endif
