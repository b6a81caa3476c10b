#include <av_registry/watcher_choice.hpp>

#include <absl/algorithm/container.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace anvilturn
{
namespace
{

enum class proximity
{
    local_domain,
    unknown,
    other_domain
};

proximity proximity_of(const watcher_record& watcher,
                       const std::string& local_domain)
{
    if (!watcher.failure_domain_)
    {
        return proximity::unknown;
    }
    return *watcher.failure_domain_ == local_domain ? proximity::local_domain
                                                    : proximity::other_domain;
}

// Returns whether the exponential backoff after the watcher's last failure is
// over.
bool is_backoff_over(const watcher_record& watcher, milliseconds now)
{
    constexpr int max_doublings = 6;
    const int doublings = std::min(watcher.failures_, max_doublings);
    return !watcher.failed_at_ ||
           now >= *watcher.failed_at_ +
                      watcher_retry_delay * std::ldexp(1.0, doublings);
}

bool has_current_status(const watcher_record& watcher, milliseconds now)
{
    return watcher.last_contact_at_ &&
           now < *watcher.last_contact_at_ + status_validity;
}

// A watcher that reports the store unreachable may be queried at once: it is
// itself reachable and will notice the recovery of the store first.
bool may_query(const watcher_record& watcher, milliseconds now)
{
    return !watcher.excluded_ &&
           (!watcher.failed_at_ || reports_store_unreachable(watcher, now) ||
            now >= *watcher.failed_at_ + watcher_retry_delay);
}

bool may_reach_store(const watcher_record& watcher, milliseconds now)
{
    return !watcher.excluded_ && is_backoff_over(watcher, now) &&
           !reports_store_unreachable(watcher, now);
}

// Compares by reachability of the store, then by backoff, then by kind, then by
// proximity.
bool is_preferred(const watcher_record& a,
                  const watcher_record& b,
                  const std::string& local_domain,
                  milliseconds now)
{
    const bool a_store_unreachable = reports_store_unreachable(a, now);
    if (a_store_unreachable != reports_store_unreachable(b, now))
    {
        return !a_store_unreachable;
    }
    const bool a_backoff_over = is_backoff_over(a, now);
    const bool b_backoff_over = is_backoff_over(b, now);
    if (a_backoff_over != b_backoff_over)
    {
        return a_backoff_over;
    }
    if (a.standby_ != b.standby_)
    {
        return b.standby_;
    }
    return proximity_of(a, local_domain) < proximity_of(b, local_domain);
}

// Adds a record of the standby unless there is one, or replaces that of an
// earlier standby. Without a place for it nothing is done.
void record_standby(std::vector<watcher_record>& watchers,
                    const std::vector<std::string>& standbys,
                    const std::string& address,
                    std::optional<std::size_t> in_use)
{
    watcher_record record;
    record.address_ = address;
    record.standby_ = true;
    watcher_record* replaceable = nullptr;
    std::size_t known = 0;
    for (std::size_t index = 0; index < watchers.size(); ++index)
    {
        auto& watcher = watchers[index];
        if (watcher.address_ == address)
        {
            return;
        }
        known += watcher.standby_ ? 1U : 0U;
        const bool is_unused =
            watcher.standby_ && index != in_use &&
            !absl::c_linear_search(standbys, watcher.address_);
        replaceable =
            is_unused && replaceable == nullptr ? &watcher : replaceable;
    }
    if (known < max_known_standbys)
    {
        watchers.push_back(std::move(record));
    }
    else if (replaceable != nullptr)
    {
        *replaceable = std::move(record);
    }
}

} // namespace

void record_watcher_failure(watcher_record& watcher, milliseconds now)
{
    watcher.failed_at_ = now;
    watcher.last_contact_at_.reset();
    watcher.store_reachable_ = false;
    ++watcher.failures_;
}

void record_watcher_status(watcher_record& watcher,
                           bool store_reachable,
                           bool was_status_query,
                           milliseconds now)
{
    const bool was_store_reachable =
        std::exchange(watcher.store_reachable_, store_reachable);
    watcher.last_contact_at_ = now;
    if (!store_reachable && (was_store_reachable || was_status_query))
    {
        watcher.failed_at_ = now;
        ++watcher.failures_;
    }
}

bool reports_store_unreachable(const watcher_record& watcher, milliseconds now)
{
    return has_current_status(watcher, now) && !watcher.store_reachable_;
}

bool needs_status_query(const watcher_record& watcher, milliseconds now)
{
    return !has_current_status(watcher, now);
}

bool should_keep_watcher(const std::vector<watcher_record>& watchers,
                         std::size_t current,
                         milliseconds now)
{
    for (std::size_t index = 0; index < watchers.size(); ++index)
    {
        if (index != current && may_reach_store(watchers[index], now))
        {
            return false;
        }
    }
    return true;
}

std::vector<std::string>
choose_standbys(const std::vector<std::string>& current,
                const std::vector<std::string>& subscribers)
{
    std::vector<std::string> result;
    for (const auto& address : current)
    {
        if (absl::c_linear_search(subscribers, address))
        {
            result.push_back(address);
        }
    }
    for (const auto& address : subscribers)
    {
        if (result.size() < max_standbys &&
            !absl::c_linear_search(result, address))
        {
            result.push_back(address);
        }
    }
    return result;
}

bool record_standbys(std::vector<watcher_record>& watchers,
                     const std::vector<std::string>& standbys,
                     const std::string& local_address,
                     std::optional<std::size_t> in_use)
{
    for (const auto& address : standbys)
    {
        if (address != local_address)
        {
            record_standby(watchers, standbys, address, in_use);
        }
    }
    const bool is_standby = !local_address.empty() &&
                            absl::c_linear_search(standbys, local_address);
    for (auto& watcher : watchers)
    {
        watcher.excluded_ = watcher.standby_ && is_standby;
    }
    return is_standby;
}

std::vector<watcher_record>
make_watcher_records(const std::vector<std::string>& addresses,
                     const std::string& local_address)
{
    std::vector<watcher_record> result;
    if (std::find(addresses.begin(), addresses.end(), local_address) !=
        addresses.end())
    {
        return result;
    }
    for (const auto& address : addresses)
    {
        watcher_record record;
        record.address_ = address;
        result.push_back(std::move(record));
    }
    return result;
}

std::optional<std::size_t>
choose_watcher(const std::vector<watcher_record>& watchers,
               const std::string& local_domain,
               std::size_t first_index,
               milliseconds now)
{
    std::optional<std::size_t> best;
    for (std::size_t step = 0; step < watchers.size(); ++step)
    {
        const auto index = (first_index + step) % watchers.size();
        if (!may_query(watchers[index], now))
        {
            continue;
        }
        if (!best ||
            is_preferred(watchers[index], watchers[*best], local_domain, now))
        {
            best = index;
        }
    }
    return best;
}

bool has_better_watcher(const std::vector<watcher_record>& watchers,
                        std::size_t current,
                        const std::string& local_domain,
                        milliseconds now)
{
    const auto& used = watchers[current];
    return std::any_of(
        watchers.begin(),
        watchers.end(),
        [&](const watcher_record& watcher)
        {
            return !watcher.standby_ && may_reach_store(watcher, now) &&
                   (used.standby_ || proximity_of(watcher, local_domain) <
                                         proximity_of(used, local_domain));
        });
}

} // namespace anvilturn
