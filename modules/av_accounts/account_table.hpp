#ifndef AV_ACCOUNTS_ACCOUNT_TABLE_HPP
#define AV_ACCOUNTS_ACCOUNT_TABLE_HPP

#include <av_model/account_spec.hpp>

#include <absl/container/flat_hash_map.h>
#include <absl/strings/string_view.h>

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace anvilturn
{

// The accounts of a release, indexed by key and by name. Look-ups don't
// allocate. Immutable; pointers to accounts are valid as long as the table.
class account_table
{
public:
    account_table() = default;
    account_table(const account_table&) = delete;
    account_table& operator=(const account_table&) = delete;

    // The accounts by name. No two may have a key in common; see
    // find_key_clash.
    explicit account_table(const std::map<std::string, account_spec>& accounts);

    // Return the account; null if there is none. No account has the empty key.
    const account_spec* find_by_key(std::string_view key) const noexcept;
    const account_spec* find_by_name(std::string_view name) const noexcept;

    bool empty() const;

    // All accounts in the order of their names.
    const std::vector<account_spec>& accounts() const;

    // Returns the index of an account of this table in accounts().
    std::size_t index_of(const account_spec& account) const;

private:
    // Not changed after construction, since by_key_ refers to its strings.
    std::vector<account_spec> accounts_;
    absl::flat_hash_map<absl::string_view, const account_spec*> by_key_;
};

// Two accounts that have a key in common.
struct key_clash
{
    const account_spec* first_ = nullptr;
    const account_spec* second_ = nullptr;
};

// Returns two accounts with a common key; null pointers if there are none. A
// key that one account lists twice is no clash.
key_clash find_key_clash(const std::map<std::string, account_spec>& accounts);

} // namespace anvilturn

#endif
