#include <av_quota/permit_stock.hpp>

#include <algorithm>
#include <cmath>

namespace anvilturn
{
namespace
{

constexpr double ms_per_second = 1000.0;
// Time constant of the moving average. One call raises the average by half a
// call per second, so that no permit is prefetched for a single call.
constexpr double averaging_time_s = 2.0;
// Fraction of the expected use below which more permits are prefetched.
constexpr double prefetch_fraction = 0.5;
// A VM that was refused asks again after this time at the latest, because
// permits may have been left by callers that did not return.
constexpr milliseconds max_refused_time(100.0);

double average_at(const permit_stock& stock, milliseconds now)
{
    const double elapsed_s =
        std::max(0.0, (now - stock.averaged_at_).count()) / ms_per_second;
    return stock.used_per_second_ * std::exp(-elapsed_s / averaging_time_s);
}

void drop_expired(permit_stock& stock, milliseconds now)
{
    while (!stock.batches_.empty() && stock.batches_.front().expires_at_ <= now)
    {
        stock.batches_.pop_front();
    }
}

void insert_batch(permit_stock& stock, const permit_batch& batch)
{
    const auto next =
        std::lower_bound(stock.batches_.begin(),
                         stock.batches_.end(),
                         batch,
                         [](const permit_batch& a, const permit_batch& b)
                         {
                             return a.expires_at_ < b.expires_at_;
                         });
    if (next != stock.batches_.end() && next->expires_at_ == batch.expires_at_)
    {
        next->permits_ += batch.permits_;
        return;
    }
    stock.batches_.insert(next, batch);
}

} // namespace

std::optional<milliseconds> take_permit(permit_stock& stock, milliseconds now)
{
    stock.used_per_second_ = average_at(stock, now) + 1.0 / averaging_time_s;
    stock.averaged_at_ = now;
    drop_expired(stock, now);
    if (stock.batches_.empty())
    {
        return std::nullopt;
    }
    auto& first = stock.batches_.front();
    const auto expires_at = first.expires_at_;
    if (--first.permits_ == 0)
    {
        stock.batches_.pop_front();
    }
    return expires_at;
}

void give_back_permit(permit_stock& stock,
                      milliseconds expires_at,
                      milliseconds now)
{
    stock.used_per_second_ =
        std::max(0.0, average_at(stock, now) - 1.0 / averaging_time_s);
    stock.averaged_at_ = now;
    drop_expired(stock, now);
    if (expires_at > now)
    {
        insert_batch(stock, {1, expires_at});
    }
}

void add_permits(permit_stock& stock,
                 int permits,
                 milliseconds lease,
                 milliseconds asked_at,
                 milliseconds now)
{
    drop_expired(stock, now);
    stock.lease_ = lease;
    if (permits <= 0)
    {
        return;
    }
    stock.refused_until_ = milliseconds(0.0);
    const auto expires_at = asked_at + lease;
    if (expires_at > now)
    {
        insert_batch(stock, {permits, expires_at});
    }
}

void record_refusal(permit_stock& stock,
                    milliseconds retry_after,
                    milliseconds now)
{
    stock.refused_until_ = now + std::min(retry_after, max_refused_time);
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
    const double expected = std::floor(average_at(stock, now) *
                                       stock.lease_.count() / ms_per_second);
    // A VM that was refused does not prefetch: the others need the permits for
    // calls that wait.
    const bool prefetches = now >= stock.refused_until_ &&
                            held < std::ceil(expected * prefetch_fraction);
    if (held >= waiting_calls && !prefetches)
    {
        return 0;
    }
    const int prefetched = prefetches ? static_cast<int>(expected) : 0;
    return std::max(0, std::max(waiting_calls, prefetched) - held);
}

} // namespace anvilturn
