#ifndef AV_QUOTA_LIMIT_KEY_HPP
#define AV_QUOTA_LIMIT_KEY_HPP

#include <av_core/comparison.hpp>

#include <cstdint>
#include <string>
#include <tuple>
#include <utility>

namespace anvilturn
{

// What a limit applies to.
enum class limit_kind : std::uint8_t
{
    // The calls of a client account.
    account,
    // The calls to one target while it is cold.
    cold_target
};

// Identifies one limit.
struct limit_key
{
    limit_kind kind_ = limit_kind::account;
    // Name of the account or target.
    std::string name_;

    // Returns all members, for comparison.
    auto tie() const
    {
        return std::tie(kind_, name_);
    }

    friend bool operator==(const limit_key& a, const limit_key& b)
    {
        return a.tie() == b.tie();
    }

    friend bool operator!=(const limit_key& a, const limit_key& b)
    {
        return !(a == b);
    }

    friend bool operator<(const limit_key& a, const limit_key& b)
    {
        return a.tie() < b.tie();
    }

    // For hash tables of Abseil, which prescribes the name.
    template <typename Hash>
    // NOLINTNEXTLINE(readability-identifier-naming)
    friend Hash AbslHashValue(Hash state, const limit_key& key)
    {
        return Hash::combine(std::move(state), key.kind_, key.name_);
    }
};

} // namespace anvilturn

#endif
