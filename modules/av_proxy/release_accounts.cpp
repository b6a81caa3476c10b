#include <av_proxy/release_accounts.hpp>

namespace anvilturn
{
namespace
{

// Returns the counters of the account if it was counted by name; else null.
std::shared_ptr<account_counters>
named_counters(const release_accounts* previous, const std::string& name)
{
    const auto* const account =
        previous == nullptr ? nullptr : previous->table_.find_by_name(name);
    if (account == nullptr)
    {
        return nullptr;
    }
    const auto& counters =
        previous->counters_[previous->table_.index_of(*account)];
    return counters == previous->others_ ? nullptr : counters;
}

account_statistics statistics_of(const std::string& name,
                                 const account_counters& counters)
{
    const auto count = [&counters](call_outcome outcome)
    {
        return counters.calls_[static_cast<std::size_t>(outcome)].load(
            std::memory_order_relaxed);
    };
    account_statistics result;
    result.account_ = name;
    result.answered_ = count(call_outcome::answered);
    result.not_run_ = count(call_outcome::not_run);
    result.unknown_ = count(call_outcome::unknown);
    return result;
}

} // namespace

release_accounts::release_accounts(
    const std::map<std::string, account_spec>& accounts,
    const release_accounts* previous)
    : table_(accounts)
    , others_(previous == nullptr ? std::make_shared<account_counters>()
                                  : previous->others_)
{
    std::size_t count = 0;
    for (const auto& account : table_.accounts())
    {
        counters_.push_back(named_counters(previous, account.name_));
        count += counters_.back() == nullptr ? 0 : 1;
    }
    for (auto& counters : counters_)
    {
        if (counters != nullptr)
        {
            continue;
        }
        counters = count < max_counted_accounts
                       ? std::make_shared<account_counters>()
                       : others_;
        ++count;
    }
}

std::vector<account_statistics>
account_statistics_of(const release_accounts& accounts)
{
    std::vector<account_statistics> result;
    for (const auto& account : accounts.table_.accounts())
    {
        const auto& counters = accounts.counters_of(account);
        if (&counters != accounts.others_.get())
        {
            result.push_back(statistics_of(account.name_, counters));
        }
    }
    if (result.size() < accounts.table_.accounts().size())
    {
        result.push_back(statistics_of("", *accounts.others_));
    }
    return result;
}

account_counters&
release_accounts::counters_of(const account_spec& account) const
{
    return *counters_[table_.index_of(account)];
}

} // namespace anvilturn
