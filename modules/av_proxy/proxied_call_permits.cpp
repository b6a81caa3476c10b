// The permits that a call needs because of limits that hold for all VMs
// together: one of its account before it waits for a target, and one of the
// target if that is cold.

#include <av_proxy/proxied_call.hpp>

#include <av_grants/permit_client.hpp>
#include <av_proxy/worker.hpp>

#include <utility>

namespace anvilturn
{

// Returns whether the quota of the account allows the call to be sent now.
// Discards a permit that has expired or was spent by an earlier attempt.
bool proxied_call::has_account_permit()
{
    if (account_ == nullptr || worker_.permits() == nullptr ||
        !account_limit(*account_, worker_.core().settings_.limit_bounds_))
    {
        return true;
    }
    if (!is_valid(account_permit_, worker_.now()))
    {
        account_permit_.reset();
    }
    return account_permit_.has_value();
}

// Takes a permit of the account, then routes the call. The targets are queried
// for their load meanwhile. It may be that the call has ended when this
// returns.
void proxied_call::request_account_permit()
{
    const auto self = link_.share_call();
    awaits_permit_ = true;
    link_.update_timer();
    const auto request = ++permit_requests_;
    const limit_key key{limit_kind::account, account_->name_};
    worker_.permits()->acquire(
        key,
        [this, self, request, key](const permit_answer& answer)
        {
            if (awaits_permit(request))
            {
                on_account_permit(answer);
            }
            else if (answer.result_ == permit_result::granted)
            {
                worker_.permits()->give_back(key, answer.expires_at_);
            }
        });
    if (awaits_permit(request))
    {
        worker_.query_load_ahead(*this);
    }
}

// Returns whether this is still the call that has made the request.
bool proxied_call::awaits_permit(std::uint64_t request) const
{
    return active_ && awaits_permit_ && request == permit_requests_;
}

void proxied_call::on_account_permit(const permit_answer& answer)
{
    awaits_permit_ = false;
    if (answer.result_ == permit_result::granted)
    {
        account_permit_ = held_permit{{limit_kind::account, account_->name_},
                                      answer.expires_at_};
        route_call();
        return;
    }
    set_expected_wait(answer.retry_after_);
    const bool over_limit = answer.result_ == permit_result::over_limit;
    refuse(over_limit ? error_kind::quota_exceeded : error_kind::quota_unknown);
}

// Takes the permit that the choice of a cold target was based on.
void proxied_call::take_cold_permit(const target_entry& target)
{
    if (const auto expires_at = worker_.take_cold_permit(target))
    {
        target_permit_ = held_permit{
            {limit_kind::cold_target, target.spec_.name_}, *expires_at};
    }
}

// Returns whether the call may be sent to the target by the newest table, which
// may have changed since the target was chosen.
bool proxied_call::may_call(const target_state& target) const
{
    const auto* service =
        worker_.table()->find_service(worker_state_->state_->name_);
    return service != nullptr && may_be_called(*service, target, regions_);
}

// Returns whether the call may be sent to the chosen target now. Since the
// choice the target may have left or become cold, and the permits may have
// expired.
bool proxied_call::may_send_now()
{
    if (to_vm_)
    {
        return true;
    }
    if (!may_call(*target_))
    {
        return false;
    }
    const auto now = worker_.now();
    const bool needs_target_permit =
        worker_.limits_cold_targets(*service_) && is_cold(*target_, now);
    return has_account_permit() &&
           (!needs_target_permit || is_valid(target_permit_, now));
}

void proxied_call::spend_permits()
{
    for (auto* permit : {&account_permit_, &target_permit_})
    {
        if (*permit)
        {
            (*permit)->spent_ = true;
        }
    }
}

// Ends the use of the permits by an attempt. A target that refused the call has
// not run it, which the quota of the account does not count, whereas the limit
// of a cold target counts each call that is sent.
void proxied_call::release_attempt_permits(bool refused)
{
    if (account_permit_ && refused)
    {
        account_permit_->spent_ = false;
    }
    return_permit(target_permit_);
}

// Gives a permit that was not spent back.
void proxied_call::return_permit(std::optional<held_permit>& permit)
{
    const auto returned = std::exchange(permit, std::nullopt);
    auto* const permits = worker_.permits();
    if (returned && !returned->spent_ && permits != nullptr)
    {
        permits->give_back(returned->key_, returned->expires_at_);
    }
}

} // namespace anvilturn
