#include <av_registry/watcher_choice.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace anvilturn
{
namespace
{

enum class proximity
{
    own_domain,
    unknown,
    other_domain
};

proximity proximity_of(const watcher_record& watcher,
                       const std::string& own_domain)
{
    if (!watcher.failure_domain_)
    {
        return proximity::unknown;
    }
    return *watcher.failure_domain_ == own_domain ? proximity::own_domain
                                                  : proximity::other_domain;
}

// Whether a watcher that failed has had the time to be trusted again.
bool is_backoff_over(const watcher_record& watcher, milliseconds now)
{
    constexpr int most_doublings = 6;
    const int doublings = std::min(watcher.failures_, most_doublings);
    return !watcher.failed_at_ ||
           now >= *watcher.failed_at_ +
                      watcher_retry_delay * std::ldexp(1.0, doublings);
}

bool has_current_status(const watcher_record& watcher, milliseconds now)
{
    return watcher.last_contact_at_ &&
           now < *watcher.last_contact_at_ + status_validity;
}

// One that is out of step can be reached and will be the first to know more.
bool may_query(const watcher_record& watcher, milliseconds now)
{
    return !watcher.failed_at_ || reports_store_unreachable(watcher, now) ||
           now >= *watcher.failed_at_ + watcher_retry_delay;
}

// Those in step go before trusted ones, and these before nearer ones.
bool is_preferred(const watcher_record& a,
                  const watcher_record& b,
                  const std::string& own_domain,
                  milliseconds now)
{
    const bool a_out = reports_store_unreachable(a, now);
    if (a_out != reports_store_unreachable(b, now))
    {
        return !a_out;
    }
    const bool a_trusted = is_backoff_over(a, now);
    const bool b_trusted = is_backoff_over(b, now);
    if (a_trusted != b_trusted)
    {
        return a_trusted;
    }
    return proximity_of(a, own_domain) < proximity_of(b, own_domain);
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
                           bool in_step,
                           bool was_status_query,
                           milliseconds now)
{
    const bool was_in_step = std::exchange(watcher.store_reachable_, in_step);
    watcher.last_contact_at_ = now;
    if (!in_step && (was_in_step || was_status_query))
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
        const auto& other = watchers[index];
        if (index != current && is_backoff_over(other, now) &&
            !reports_store_unreachable(other, now))
        {
            return false;
        }
    }
    return true;
}

std::vector<watcher_record>
watchers_of(const std::vector<std::string>& addresses,
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
               const std::string& own_domain,
               std::size_t first,
               milliseconds now)
{
    std::optional<std::size_t> best;
    for (std::size_t step = 0; step < watchers.size(); ++step)
    {
        const auto index = (first + step) % watchers.size();
        if (!may_query(watchers[index], now))
        {
            continue;
        }
        if (!best ||
            is_preferred(watchers[index], watchers[*best], own_domain, now))
        {
            best = index;
        }
    }
    return best;
}

bool has_better_watcher(const std::vector<watcher_record>& watchers,
                        std::size_t current,
                        const std::string& own_domain,
                        milliseconds now)
{
    return std::any_of(watchers.begin(),
                       watchers.end(),
                       [&](const watcher_record& watcher)
                       {
                           return is_backoff_over(watcher, now) &&
                                  !reports_store_unreachable(watcher, now) &&
                                  proximity_of(watcher, own_domain) <
                                      proximity_of(watchers[current],
                                                   own_domain);
                       });
}

} // namespace anvilturn
