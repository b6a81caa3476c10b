// The part of the worker that finds targets for hedges.

#include <av_proxy/worker.hpp>

#include <av_proxy/proxied_call.hpp>
#include <av_routing/load_estimate.hpp>

#include <boost/asio/post.hpp>

#include <algorithm>
#include <tuple>

namespace anvilturn
{
namespace
{

// Returns what a hedge needs to know of the target.
hedge_target hedge_target_of(const target_view& view, bool cold, bool evacuated)
{
    hedge_target target;
    target.load_ = std::max(view.local_in_flight_,
                            view.reported_load_ + view.sent_since_report_);
    target.slots_ = view.slots_;
    target.slowdown_ = view.reported_slowdown_;
    if (view.reported_load_ >= 0)
    {
        target.report_age_ = view.report_age_;
    }
    target.cold_ = cold;
    target.evacuated_ = evacuated;
    return target;
}

// Returns the rank of the target; the lowest one is best. A target whose load
// is not known comes after those with room.
auto rank_of(const target_view& view, const hedge_target& target)
{
    return std::make_tuple(!has_room(target),
                           !view.same_domain_,
                           !view.has_connection_,
                           target.load_);
}

} // namespace

hedge_candidate worker::find_hedge_target(const proxied_call& call)
{
    const auto& service = call.service();
    bool refresh_pending = false;
    fill_views(service, &call, refresh_pending);
    hedge_candidate best;
    std::size_t best_index = 0;
    // Begins at a random target, so that VMs which know nothing don't all ask
    // the same one.
    const auto count = views_.size();
    const auto offset = count == 0 ? 0 : random_bits() % count;
    for (std::size_t step = 0; step < count; ++step)
    {
        const auto index = (offset + step) % count;
        const auto& view = views_[index];
        const auto& target = service.targets_[index];
        const auto seen = hedge_target_of(
            view, is_cold(*target.state_, cached_now_), target.evacuated_);
        const bool is_usable = has_room(view) && !view.reports_unhealthy_ &&
                               !seen.cold_ && !seen.evacuated_ &&
                               (has_room(seen) || !is_fresh(seen));
        if (is_usable &&
            (best.entry_ == nullptr ||
             rank_of(view, seen) < rank_of(views_[best_index], best.seen_)))
        {
            best = {&target, seen, view.local_limit_};
            best_index = index;
        }
    }
    return best;
}

bool worker::query_load(const service_entry& service,
                        const target_entry& target)
{
    if (load_query_sender_.awaits(target.state_.get()))
    {
        return false;
    }
    load_query_sender_.send_query(service, target);
    return true;
}

void worker::post_slot_freed(const std::shared_ptr<service_state>& service)
{
    boost::asio::post(context_,
                      [this, service]
                      {
                          on_slot_freed(service);
                      });
}

} // namespace anvilturn
