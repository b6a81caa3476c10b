#include <av_quota/permit_ledger.hpp>

#include <algorithm>
#include <cmath>

namespace anvilturn
{
namespace
{

constexpr double ms_per_second = 1000.0;
// Retry-After values are bounded, because many refused callers don't return.
constexpr milliseconds max_retry_after(5000.0);
constexpr milliseconds min_retry_after(1.0);

// Adds the tokens that have accumulated since they were last counted.
void count_tokens(permit_bucket& bucket,
                  const grantor_share& share,
                  milliseconds now)
{
    const double elapsed_s =
        std::max(0.0, (now - bucket.counted_at_).count()) / ms_per_second;
    const double added = share.rate_per_second_ * elapsed_s;
    bucket.tokens_ = std::min(share.burst_, bucket.tokens_ + added);
    bucket.reserve_tokens_ = std::min(
        share.reserve_burst_,
        bucket.reserve_tokens_ + share.reserve_rate_per_second_ * elapsed_s);
    bucket.refused_ = std::max(0.0, bucket.refused_ - added);
    bucket.counted_at_ = std::max(bucket.counted_at_, now);
}

int take_tokens(double& tokens, int wanted)
{
    const double taken =
        std::floor(std::min(tokens, static_cast<double>(wanted)));
    tokens -= taken;
    return static_cast<int>(taken);
}

milliseconds time_to_fill(double tokens, double burst, double rate_per_second)
{
    // Without a rate a new bucket has no tokens either.
    if (tokens >= burst || !(rate_per_second > 0.0))
    {
        return milliseconds(0.0);
    }
    return milliseconds((burst - tokens) / rate_per_second * ms_per_second);
}

// Returns when there is a token for the caller that was just refused, if those
// refused before return first.
milliseconds time_to_retry(const permit_bucket& bucket,
                           const grantor_share& share)
{
    if (!(share.rate_per_second_ > 0.0))
    {
        return max_retry_after;
    }
    const milliseconds time((bucket.refused_ - bucket.tokens_) /
                            share.rate_per_second_ * ms_per_second);
    return std::clamp(time, min_retry_after, max_retry_after);
}

} // namespace

permit_grant take_permits(permit_bucket& bucket,
                          const grantor_share& share,
                          const permit_request& request,
                          milliseconds now)
{
    count_tokens(bucket, share, now);
    permit_grant grant;
    grant.lease_ = share.lease_;
    const int wanted = std::max(1, request.wanted_);
    grant.permits_ = take_tokens(bucket.tokens_, wanted);
    if (request.may_use_reserve_)
    {
        grant.permits_ +=
            take_tokens(bucket.reserve_tokens_, wanted - grant.permits_);
    }
    bucket.granted_ = bucket.granted_ || grant.permits_ > 0;
    if (grant.permits_ == 0)
    {
        const double most_refused =
            share.rate_per_second_ * max_retry_after.count() / ms_per_second;
        bucket.refused_ =
            std::max(1.0, std::min(bucket.refused_ + 1.0, most_refused));
        grant.retry_after_ = time_to_retry(bucket, share);
    }
    // A full bucket is kept for a window and a lease too, since a new one may
    // have a higher limit and hold all of its burst.
    const auto idle_time = std::max(
        {time_to_fill(bucket.tokens_, share.burst_, share.rate_per_second_),
         time_to_fill(bucket.reserve_tokens_,
                      share.reserve_burst_,
                      share.reserve_rate_per_second_),
         share.full_after_});
    bucket.removable_at_ = bucket.counted_at_ + idle_time;
    return grant;
}

permit_grant take_permits(permit_ledger& ledger,
                          const grantor_share& share,
                          const permit_request& request,
                          milliseconds now)
{
    const auto inserted =
        ledger.buckets_.try_emplace(request.key_, permit_bucket{});
    auto& bucket = inserted.first->second;
    if (inserted.second)
    {
        bucket.counted_at_ = ledger.started_at_;
    }
    if (!bucket.granted_ && now - ledger.started_at_ >= share.full_after_)
    {
        bucket.tokens_ = share.burst_;
        bucket.reserve_tokens_ = share.reserve_burst_;
        bucket.counted_at_ = std::max(bucket.counted_at_, now);
    }
    return take_permits(bucket, share, request, now);
}

void remove_idle(permit_ledger& ledger, milliseconds now)
{
    absl::erase_if(ledger.buckets_,
                   [now](const auto& entry)
                   {
                       return now >= entry.second.removable_at_;
                   });
}

} // namespace anvilturn
