// The part of the worker that holds permits for cold targets.

#include <av_proxy/worker.hpp>

#include <av_core/monotonic_clock.hpp>
#include <av_proxy/proxied_call.hpp>

#include <algorithm>
#include <utility>

namespace anvilturn
{
namespace
{

// The time after which permits are expected takes callers into account that may
// not return, and a target is cold for a few seconds only.
constexpr milliseconds max_refusal_time{50.0};

} // namespace

permit_client* worker::permits()
{
    return permits_.get();
}

bool worker::limits_cold_targets(const service_entry& service) const
{
    return permits_ != nullptr && service.policy_ != nullptr &&
           service.policy_->choose_cold_target_ != nullptr &&
           cold_target_limit(service.spec_, core_.settings_.limit_bounds_);
}

// Sets what the choice needs to know of a cold target. One for which a permit
// was refused has no room for a while.
void worker::apply_cold_permit(const target_entry& target, target_view& view)
{
    view.cold_ = is_cold(*target.state_, cached_now_);
    if (!view.cold_)
    {
        return;
    }
    const auto found = cold_permits_.find(target.spec_.name_);
    if (found == cold_permits_.end())
    {
        return;
    }
    view.has_permit_ = found->second.expires_at_ > cached_now_;
    if (!view.has_permit_ && found->second.refused_until_ > cached_now_)
    {
        view.local_limit_ = 0;
    }
}

// Requests a permit for a cold target if the policy names one, which it does if
// no other target of this failure domain can take the call. Returns whether the
// call should wait for the response, so that targets that become cold together
// don't shift their load to other failure domains.
bool worker::awaits_cold_permit(const service_entry& service,
                                const proxied_call& call)
{
    if (!limits_cold_targets(service) || !has_cold_target(service))
    {
        return false;
    }
    bool refresh_pending = false;
    fill_views(service, &call, refresh_pending);
    const auto index =
        service.policy_->choose_cold_target_(input_for(service, &call));
    if (!index)
    {
        return false;
    }
    // One request for each service at a time: the next call of the queue would
    // name another target, and permits that are not used soon are lost.
    auto& worker_state = worker_state_of(service);
    if (std::exchange(worker_state.requests_cold_permit_, true))
    {
        return true;
    }
    const auto name = service.targets_[*index].spec_.name_;
    permits_->acquire(
        {limit_kind::cold_target, name},
        [this, name, state = service.state_](const permit_answer& answer)
        {
            on_cold_permit(state->name_, name, answer);
            post_dispatch_waiting(state);
        });
    return worker_state.requests_cold_permit_;
}

bool worker::has_cold_target(const service_entry& service) const
{
    return std::any_of(service.targets_.begin(),
                       service.targets_.end(),
                       [this](const target_entry& target)
                       {
                           return is_cold(*target.state_, cached_now_);
                       });
}

void worker::on_cold_permit(const std::string& service,
                            const std::string& target,
                            const permit_answer& answer)
{
    if (const auto found = worker_states_.find(service);
        found != worker_states_.end())
    {
        found->second->requests_cold_permit_ = false;
    }
    auto& permit = cold_permits_[target];
    if (answer.result_ == permit_result::granted)
    {
        permit.expires_at_ = answer.expires_at_;
        permit.refused_until_ = milliseconds(0.0);
        return;
    }
    permit.refused_until_ =
        monotonic_now() + std::min(answer.retry_after_, max_refusal_time);
}

std::optional<milliseconds> worker::take_cold_permit(const target_entry& target)
{
    const auto found = cold_permits_.find(target.spec_.name_);
    if (found == cold_permits_.end() ||
        found->second.expires_at_ <= cached_now_)
    {
        return std::nullopt;
    }
    return std::exchange(found->second.expires_at_, milliseconds(0.0));
}

// Removes what is no longer needed, so that it doesn't grow with the targets
// that were ever cold. Permits that expired unused were for calls that another
// target took.
void worker::drop_expired_cold_permits()
{
    absl::erase_if(cold_permits_,
                   [this](const auto& entry)
                   {
                       const auto& permit = entry.second;
                       return permit.expires_at_ <= cached_now_ &&
                              permit.refused_until_ <= cached_now_;
                   });
}

} // namespace anvilturn
