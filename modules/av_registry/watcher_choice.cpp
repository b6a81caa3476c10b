#include <av_registry/watcher_choice.hpp>

#include <algorithm>
#include <cmath>

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

// Whether a watcher that failed has had the time to be trusted again.
bool is_trusted(const watcher_record& watcher, milliseconds now)
{
    constexpr int most_doublings = 6;
    const int doublings = std::min(watcher.failures_, most_doublings);
    return !watcher.failed_at_ ||
           now >=
               *watcher.failed_at_ + watcher_pause * std::ldexp(1.0, doublings);
}

bool may_ask(const watcher_record& watcher, milliseconds now)
{
    return !watcher.failed_at_ || now >= *watcher.failed_at_ + watcher_pause;
}

// Trusted ones go before nearer ones.
bool is_preferred(const watcher_record& a,
                  const watcher_record& b,
                  const std::string& own_domain,
                  milliseconds now)
{
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
    ++watcher.failures_;
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
        result.push_back({address, std::nullopt, std::nullopt, 0});
    }
    return result;
}

std::optional<std::size_t>
choose_watcher(const std::vector<watcher_record>& watchers,
               const std::string& own_domain,
               std::size_t random,
               milliseconds now)
{
    std::optional<std::size_t> best;
    for (std::size_t step = 0; step < watchers.size(); ++step)
    {
        const auto index = (random + step) % watchers.size();
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
    return std::any_of(watchers.begin(),
                       watchers.end(),
                       [&](const watcher_record& watcher)
                       {
                           return is_trusted(watcher, now) &&
                                  nearness_of(watcher, own_domain) <
                                      nearness_of(watchers[current],
                                                  own_domain);
                       });
}

} // namespace anvilturn
