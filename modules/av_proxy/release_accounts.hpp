#ifndef AV_PROXY_RELEASE_ACCOUNTS_HPP
#define AV_PROXY_RELEASE_ACCOUNTS_HPP

#include <av_accounts/account_table.hpp>
#include <av_model/call_outcome.hpp>
#include <av_proxy/request_path_statistics.hpp>

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace anvilturn
{

// Accounts whose calls are counted by name; those of all others are counted
// together, since each name makes further series of metrics.
constexpr std::size_t max_counted_accounts = 100;

// Calls of one account, or of all accounts that are not counted by name.
// Updated by all threads.
struct account_counters
{
    std::array<std::atomic<std::uint64_t>, call_outcome_count> calls_{};
};

// The accounts of a release and their counters. Immutable but for the counts.
struct release_accounts
{
    // Carries over the counters of accounts that were counted by name in the
    // previous release; null if there is none. The other accounts are counted
    // by name in the order of their names, as long as there is room.
    release_accounts(const std::map<std::string, account_spec>& accounts,
                     const release_accounts* previous);

    // Returns the counters for an account of the table.
    account_counters& counters_of(const account_spec& account) const;

    account_table table_;
    // By index in the table. Those of accounts that are counted together are
    // the same.
    std::vector<std::shared_ptr<account_counters>> counters_;
    std::shared_ptr<account_counters> others_;
};

// Returns the calls of the accounts that are counted by name, in the order of
// their names, then those of the others, if there are any.
std::vector<account_statistics>
account_statistics_of(const release_accounts& accounts);

} // namespace anvilturn

#endif
