#include <av_registry/watcher_choice.hpp>

#include <algorithm>

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

bool may_ask(const watcher_record& watcher, milliseconds now)
{
    return !watcher.failed_at_ || now >= *watcher.failed_at_ + watcher_pause;
}

} // namespace

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
        result.push_back({address, std::nullopt, std::nullopt});
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
        if (!best || nearness_of(watchers[index], own_domain) <
                         nearness_of(watchers[*best], own_domain))
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
    const auto best = choose_watcher(watchers, own_domain, current, now);
    return best && nearness_of(watchers[*best], own_domain) <
                       nearness_of(watchers[current], own_domain);
}

} // namespace anvilturn
