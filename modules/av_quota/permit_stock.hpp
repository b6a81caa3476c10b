#ifndef AV_QUOTA_PERMIT_STOCK_HPP
#define AV_QUOTA_PERMIT_STOCK_HPP

#include <av_core/milliseconds.hpp>

#include <deque>
#include <optional>

namespace anvilturn
{

// Permits that expire together.
struct permit_batch
{
    int permits_ = 0;
    milliseconds expires_at_{0.0};
};

// What one VM holds of one limit, and how much it uses.
struct permit_stock
{
    // In the order of their expiry.
    std::deque<permit_batch> batches_;
    // Moving average of the permits used per second.
    double used_per_second_ = 0.0;
    milliseconds averaged_at_{0.0};
    // The lease of the newest grant; zero if there was none.
    milliseconds lease_{0.0};
    // No grantor has permits before this point in time.
    milliseconds refused_until_{0.0};
};

// Takes the permit that expires first; returns when it expires, or nothing if
// there is none. Counts as use of a permit either way.
std::optional<milliseconds> take_permit(permit_stock& stock, milliseconds now);

// Returns a permit that was not used.
void give_back_permit(permit_stock& stock,
                      milliseconds expires_at,
                      milliseconds now);

// Adds permits of a grant that was asked for at the given point in time.
void add_permits(permit_stock& stock,
                 int permits,
                 milliseconds lease,
                 milliseconds asked_at,
                 milliseconds now);

// Records that no grantor that can be reached has permits. The VM asks again
// after the given time, or sooner if it is long, since a Retry-After of callers
// also takes those into account that were refused before.
void record_refusal(permit_stock& stock,
                    milliseconds retry_after,
                    milliseconds now);

// Returns how many permits to ask for now: those that the VM expects to use
// within a lease less those that it holds, and at least one for each call that
// waits for one. Zero if there are enough.
int permits_to_request(const permit_stock& stock,
                       int waiting_calls,
                       milliseconds now);

} // namespace anvilturn

#endif
