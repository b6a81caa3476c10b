// The periodic work of the worker: idle connections to targets, stragglers, and
// state of what was removed from the release.

#include <av_proxy/worker.hpp>

#include <av_core/log_event.hpp>
#include <av_proxy/outlier_check.hpp>

#include <algorithm>
#include <chrono>

namespace anvilturn
{
namespace
{

using boost::system::error_code;

constexpr std::chrono::milliseconds tick_interval{100};
// Fraction of the idle timeout after which idle connections to targets are
// closed.
constexpr double pool_idle_timeout_factor = 0.5;
constexpr int ticks_between_checks = 3;
constexpr auto relaxed = std::memory_order_relaxed;

} // namespace

void worker::tick()
{
    tick_timer_.expires_after(tick_interval);
    tick_timer_.async_wait(
        [this](const error_code& error)
        {
            if (!error)
            {
                tick();
            }
        });
    refill_load_query_tokens();
    load_query_sender_.drop_overdue(now());
    drop_removed_state();
    drop_expired_cold_permits();
    check_stragglers();
    close_idle_target_connections();
    if (core_.finishing_.load())
    {
        refuse_waiting();
        close_idle_caller_connections();
    }
    if (finished_)
    {
        tick_timer_.cancel();
    }
}

// Closes connections to targets that were idle for too long. The least recently
// used connection of a pool comes first.
void worker::close_idle_target_connections()
{
    // A VM to which calls are forwarded closes idle connections after the full
    // timeout. Closing them earlier here ensures that no call is written to a
    // connection that is being closed.
    const auto limit =
        cached_now_ - core_.settings_.idle_timeout_ * pool_idle_timeout_factor;
    for (const auto& entry : pools_)
    {
        auto& idle = entry.second->idle_;
        const double target_limit =
            entry.second->state_->idle_limit_ms_.load(relaxed);
        const auto oldest =
            target_limit > 0.0
                ? std::max(limit,
                           cached_now_ - milliseconds(target_limit) *
                                             target_idle_limit_factor)
                : limit;
        const auto kept = std::find_if(
            idle.begin(),
            idle.end(),
            [oldest](const std::shared_ptr<target_connection>& connection)
            {
                return connection->became_idle_at() > oldest;
            });
        for (auto it = idle.begin(); it != kept; ++it)
        {
            (*it)->close();
        }
        idle.erase(idle.begin(), kept);
    }
}

// One thread checks for all, since the state of targets is shared.
void worker::check_stragglers()
{
    if (index_ != 0 || ++ticks_ % ticks_between_checks != 0)
    {
        return;
    }
    for (const auto& service : table()->services_)
    {
        const int count =
            eject_stragglers(service.second.targets_, cached_now_);
        if (count > 0)
        {
            log_event(log_level::info, "stragglers_ejected")
                .field("service", service.first)
                .field("count", count)
                .write();
        }
    }
}

// Drops the state of targets and rules that the newest routing table no longer
// lists.
void worker::drop_removed_state()
{
    if (table() == cleaned_table_)
    {
        return;
    }
    cleaned_table_ = table();
    drop_removed_target_pools();
    drop_removed_rules();
}

void worker::drop_removed_rules()
{
    const auto& rules = *cleaned_table_->rules_;
    absl::erase_if(rule_work_,
                   [&rules](const auto& entry)
                   {
                       return !rules.contains(entry.first);
                   });
    absl::erase_if(split_calls_,
                   [&rules](const auto& entry)
                   {
                       return !rules.contains(entry.first);
                   });
}

void worker::drop_removed_target_pools()
{
    const auto& table = cleaned_table_;
    absl::flat_hash_set<const target_state*> kept;
    for (const auto& vm : table->vms_)
    {
        kept.insert(vm.second.get());
    }
    for (const auto& service : table->services_)
    {
        for (const auto& target : service.second.targets_)
        {
            kept.insert(target.state_.get());
        }
    }
    for (auto it = pools_.begin(); it != pools_.end();)
    {
        const auto here = it++;
        if (kept.contains(here->first))
        {
            continue;
        }
        here->second->withdrawn_ = true;
        const auto idle = std::move(here->second->idle_);
        for (const auto& connection : idle)
        {
            connection->close();
        }
        pools_.erase(here);
    }
}

} // namespace anvilturn
