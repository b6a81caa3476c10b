#include <av_registry/watcher_choice.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace anvilturn
{
namespace
{

enum class nearness
{
    own_domain,
    unknown,
    other_domain
};

nearness nearness_of(const watcher_record& watcher,
                     const std::string& own_domain)
{
    if (!watcher.failure_domain_)
    {
        return nearness::unknown;
    }
    return *watcher.failure_domain_ == own_domain ? nearness::own_domain
                                                  : nearness::other_domain;
}

// Returns whether the exponential backoff after the watcher's last failure is
// over.
bool is_trusted(const watcher_record& watcher, milliseconds now)
{
    constexpr int most_doublings = 6;
    const int doublings = std::min(watcher.failures_, most_doublings);
    return !watcher.failed_at_ ||
           now >=
               *watcher.failed_at_ + watcher_pause * std::ldexp(1.0, doublings);
}

bool was_heard_lately(const watcher_record& watcher, milliseconds now)
{
    return watcher.heard_at_ && now < *watcher.heard_at_ + word_validity;
}

// A watcher that reports the store unreachable may be queried at once: it is
// itself reachable and will notice the recovery of the store first.
bool may_ask(const watcher_record& watcher, milliseconds now)
{
    return !watcher.failed_at_ || is_out_of_step(watcher, now) ||
           now >= *watcher.failed_at_ + watcher_pause;
}

// Compares by reachability of the store, then by backoff, then by proximity.
bool is_preferred(const watcher_record& a,
                  const watcher_record& b,
                  const std::string& own_domain,
                  milliseconds now)
{
    const bool a_out = is_out_of_step(a, now);
    if (a_out != is_out_of_step(b, now))
    {
        return !a_out;
    }
    const bool a_trusted = is_trusted(a, now);
    const bool b_trusted = is_trusted(b, now);
    if (a_trusted != b_trusted)
    {
        return a_trusted;
    }
    return nearness_of(a, own_domain) < nearness_of(b, own_domain);
}

} // namespace

void note_failure(watcher_record& watcher, milliseconds now)
{
    watcher.failed_at_ = now;
    watcher.heard_at_.reset();
    watcher.in_step_ = false;
    ++watcher.failures_;
}

void note_word(watcher_record& watcher,
               bool in_step,
               bool was_greeting,
               milliseconds now)
{
    const bool was_in_step = std::exchange(watcher.in_step_, in_step);
    watcher.heard_at_ = now;
    if (!in_step && (was_in_step || was_greeting))
    {
        watcher.failed_at_ = now;
        ++watcher.failures_;
    }
}

bool is_out_of_step(const watcher_record& watcher, milliseconds now)
{
    return was_heard_lately(watcher, now) && !watcher.in_step_;
}

bool needs_greeting(const watcher_record& watcher, milliseconds now)
{
    return !was_heard_lately(watcher, now);
}

bool stays_with(const std::vector<watcher_record>& watchers,
                std::size_t current,
                milliseconds now)
{
    for (std::size_t index = 0; index < watchers.size(); ++index)
    {
        const auto& other = watchers[index];
        if (index != current && is_trusted(other, now) &&
            !is_out_of_step(other, now))
        {
            return false;
        }
    }
    return true;
}

std::vector<watcher_record>
watchers_of(const std::vector<std::string>& addresses,
            const std::string& own_address)
{
    std::vector<watcher_record> result;
    if (std::find(addresses.begin(), addresses.end(), own_address) !=
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
        if (!may_ask(watchers[index], now))
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
    return std::any_of(
        watchers.begin(),
        watchers.end(),
        [&](const watcher_record& watcher)
        {
            return is_trusted(watcher, now) && !is_out_of_step(watcher, now) &&
                   nearness_of(watcher, own_domain) <
                       nearness_of(watchers[current], own_domain);
        });
}

} // namespace anvilturn
