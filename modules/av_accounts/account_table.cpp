#include <av_accounts/account_table.hpp>

#include <algorithm>

namespace anvilturn
{
namespace
{

absl::string_view to_absl(std::string_view text)
{
    return {text.data(), text.size()};
}

std::size_t key_count(const std::map<std::string, account_spec>& accounts)
{
    std::size_t count = 0;
    for (const auto& entry : accounts)
    {
        count += entry.second.keys_.size();
    }
    return count;
}

} // namespace

account_table::account_table(
    const std::map<std::string, account_spec>& accounts)
{
    accounts_.reserve(accounts.size());
    for (const auto& entry : accounts)
    {
        accounts_.push_back(entry.second);
    }
    by_key_.reserve(key_count(accounts));
    for (const auto& account : accounts_)
    {
        for (const auto& key : account.keys_)
        {
            if (!key.empty())
            {
                by_key_.emplace(key, &account);
            }
        }
    }
}

const account_spec*
account_table::find_by_key(std::string_view key) const noexcept
{
    const auto found = by_key_.find(to_absl(key));
    return found == by_key_.end() ? nullptr : found->second;
}

const account_spec*
account_table::find_by_name(std::string_view name) const noexcept
{
    const auto found =
        std::lower_bound(accounts_.begin(),
                         accounts_.end(),
                         name,
                         [](const account_spec& account, std::string_view value)
                         {
                             return account.name_ < value;
                         });
    return found != accounts_.end() && found->name_ == name ? &*found : nullptr;
}

bool account_table::empty() const
{
    return accounts_.empty();
}

const std::vector<account_spec>& account_table::accounts() const
{
    return accounts_;
}

std::size_t account_table::index_of(const account_spec& account) const
{
    return static_cast<std::size_t>(&account - accounts_.data());
}

key_clash find_key_clash(const std::map<std::string, account_spec>& accounts)
{
    absl::flat_hash_map<absl::string_view, const account_spec*> owners;
    owners.reserve(key_count(accounts));
    for (const auto& entry : accounts)
    {
        const auto& account = entry.second;
        for (const auto& key : account.keys_)
        {
            const auto added = owners.emplace(key, &account);
            if (!added.second && added.first->second != &account)
            {
                return {added.first->second, &account};
            }
        }
    }
    return {};
}

} // namespace anvilturn
