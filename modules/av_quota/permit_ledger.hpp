#ifndef AV_QUOTA_PERMIT_LEDGER_HPP
#define AV_QUOTA_PERMIT_LEDGER_HPP

#include <av_core/milliseconds.hpp>
#include <av_quota/fleet_limit.hpp>
#include <av_quota/limit_key.hpp>

#include <absl/container/flat_hash_map.h>

#include <cstddef>

namespace anvilturn
{

// What a VM asks of a grantor for one limit.
struct permit_request
{
    limit_key key_;
    int wanted_ = 1;
    // Whether the VM could not reach another grantor, so that it may get
    // permits from the reserve.
    bool may_use_reserve_ = false;
};

// A grantor's response.
struct permit_grant
{
    // Between zero and the number that was asked for.
    int permits_ = 0;
    // How long the permits are valid, from when the VM asked for them.
    milliseconds lease_{0.0};
    // If there are no permits: when there is room for the caller, given the
    // callers that were refused before.
    milliseconds retry_after_{0.0};
};

// The tokens of one share at a grantor.
struct permit_bucket
{
    double tokens_ = 0.0;
    double reserve_tokens_ = 0.0;
    // When the tokens were last counted.
    milliseconds counted_at_{0.0};
    // Calls that were refused and are expected to return, see retry_after_.
    double refused_ = 0.0;
    // Time from which the bucket can be removed if nothing more is taken: both
    // buckets are full, and no permit granted so far can be used in one window
    // with a later one.
    milliseconds removable_at_{0.0};
    // Whether permits were ever taken.
    bool granted_ = false;
};

// Takes permits from the bucket.
permit_grant take_permits(permit_bucket& bucket,
                          const grantor_share& share,
                          const permit_request& request,
                          milliseconds now);

// The buckets of one grantor. A bucket from which no permits were taken has the
// tokens that have accumulated since the grantor started, because the calls of
// permits of an earlier process may be in the same window; once that is past,
// it is full. Otherwise small accounts would be refused for minutes after a
// restart.
struct permit_ledger
{
    milliseconds started_at_{0.0};
    absl::flat_hash_map<limit_key, permit_bucket> buckets_;
};

// Takes permits of the limit, of which the grantor owns the share.
permit_grant take_permits(permit_ledger& ledger,
                          const grantor_share& share,
                          const permit_request& request,
                          milliseconds now);

// Removes buckets whose removable_at_ has passed, so that the ledger holds only
// limits in recent use.
void remove_idle(permit_ledger& ledger, milliseconds now);

} // namespace anvilturn

#endif
