// Stand-ins for the functions of this module until their definitions are
// merged; deleted by the merge.

#include <av_quota/fleet_limit.hpp>
#include <av_quota/permit_ledger.hpp>
#include <av_quota/permit_stock.hpp>

#include <algorithm>

namespace anvilturn
{

std::optional<fleet_limit> account_limit(const account_spec& account,
                                         const limit_bounds& bounds)
{
    if (account.rate_per_second_ <= 0.0 || bounds.account_window_.count() <= 0)
    {
        return std::nullopt;
    }
    fleet_limit limit;
    limit.rate_per_second_ = account.rate_per_second_;
    limit.burst_ = account.burst_;
    limit.window_ = bounds.account_window_;
    limit.max_per_window_ =
        (account.rate_per_second_ * bounds.account_window_.count() / 1000.0 +
         account.burst_) *
            (1.0 + bounds.account_overrun_) +
        bounds.account_slack_;
    limit.max_lease_ = milliseconds(500.0);
    return limit;
}

std::optional<fleet_limit> cold_target_limit(const service_spec& service,
                                             const limit_bounds& bounds)
{
    if (service.cold_rate_per_second_ <= 0.0 || bounds.cold_overrun_ <= 0.0)
    {
        return std::nullopt;
    }
    fleet_limit limit;
    limit.rate_per_second_ = service.cold_rate_per_second_;
    limit.burst_ = 1.0;
    limit.window_ = milliseconds(1000.0);
    limit.max_per_window_ =
        service.cold_rate_per_second_ * bounds.cold_overrun_ +
        bounds.cold_slack_;
    limit.max_lease_ = milliseconds(100.0);
    return limit;
}

grantor_share share_of(const fleet_limit& limit, std::size_t grantor_count)
{
    const auto count = static_cast<double>(grantor_count);
    grantor_share share;
    share.rate_per_second_ = limit.rate_per_second_ / count;
    share.burst_ = std::max(limit.burst_ / count, 1.0);
    share.lease_ = limit.max_lease_;
    return share;
}

permit_grant take_permits(permit_bucket& bucket,
                          const grantor_share& share,
                          const permit_request& request,
                          milliseconds now)
{
    const double elapsed = (now - bucket.counted_at_).count() / 1000.0;
    bucket.tokens_ = std::min(bucket.tokens_ + elapsed * share.rate_per_second_,
                              share.burst_);
    bucket.counted_at_ = now;
    permit_grant grant;
    grant.permits_ =
        std::min(request.wanted_, static_cast<int>(bucket.tokens_));
    bucket.tokens_ -= grant.permits_;
    grant.lease_ = share.lease_;
    if (grant.permits_ == 0)
    {
        grant.retry_after_ =
            milliseconds(std::min(1000.0 / share.rate_per_second_, 60000.0));
    }
    return grant;
}

permit_grant take_permits(permit_ledger& ledger,
                          const grantor_share& share,
                          const permit_request& request,
                          milliseconds now)
{
    auto& bucket = ledger.buckets_[request.key_];
    if (bucket.counted_at_ == milliseconds(0.0))
    {
        bucket.counted_at_ = ledger.started_at_;
    }
    return take_permits(bucket, share, request, now);
}

void remove_idle(permit_ledger& /*ledger*/, milliseconds /*now*/)
{
}

std::optional<milliseconds> take_permit(permit_stock& stock, milliseconds now)
{
    stock.used_per_second_ += 1.0;
    while (!stock.batches_.empty() &&
           (stock.batches_.front().expires_at_ <= now ||
            stock.batches_.front().permits_ == 0))
    {
        stock.batches_.pop_front();
    }
    if (stock.batches_.empty())
    {
        return std::nullopt;
    }
    --stock.batches_.front().permits_;
    return stock.batches_.front().expires_at_;
}

void give_back_permit(permit_stock& stock,
                      milliseconds expires_at,
                      milliseconds now)
{
    if (expires_at > now)
    {
        stock.batches_.push_front({1, expires_at});
    }
}

void add_permits(permit_stock& stock,
                 int permits,
                 milliseconds lease,
                 milliseconds asked_at,
                 milliseconds now)
{
    stock.lease_ = lease;
    if (asked_at + lease > now)
    {
        stock.batches_.push_back({permits, asked_at + lease});
    }
}

int permits_to_request(const permit_stock& stock,
                       int waiting_calls,
                       milliseconds now)
{
    int held = 0;
    for (const auto& batch : stock.batches_)
    {
        held += batch.expires_at_ > now ? batch.permits_ : 0;
    }
    return std::max(waiting_calls - held, 0);
}

} // namespace anvilturn
