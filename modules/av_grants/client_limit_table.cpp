#include <av_grants/client_limit_table.hpp>

#include <algorithm>

namespace anvilturn
{
namespace
{

// The design size is thousands of accounts and 850 targets.
constexpr std::size_t max_keys = 8192;
// Looking for idle limits takes time in proportion to the size of the table.
constexpr milliseconds eviction_interval{1000.0};

// Returns whether no call waits and no permit of the limit is valid.
bool is_idle(const client_limit& limit, milliseconds now)
{
    return !limit.is_asking_ && limit.waiting_.empty() &&
           std::none_of(limit.stock_.batches_.begin(),
                        limit.stock_.batches_.end(),
                        [now](const permit_batch& batch)
                        {
                            return batch.expires_at_ > now;
                        });
}

} // namespace

std::shared_ptr<client_limit>
client_limit_table::find(const limit_key& key) const
{
    const auto found = limits_.find(key);
    return found == limits_.end() ? nullptr : found->second;
}

bool client_limit_table::add(const std::shared_ptr<client_limit>& limit,
                             milliseconds now)
{
    if (limits_.size() >= max_keys && now - evicted_at_ >= eviction_interval)
    {
        evict_idle(now);
    }
    if (limits_.size() >= max_keys)
    {
        return false;
    }
    limits_.emplace(limit->key_, limit);
    return true;
}

std::size_t client_limit_table::size() const
{
    return limits_.size();
}

void client_limit_table::clear()
{
    limits_.clear();
}

void client_limit_table::evict_idle(milliseconds now)
{
    evicted_at_ = now;
    for (auto i = limits_.begin(); i != limits_.end();)
    {
        const auto current = i++;
        if (is_idle(*current->second, now))
        {
            limits_.erase(current);
        }
    }
}

} // namespace anvilturn
