#include <av_grants/grantor_order.hpp>

#include <algorithm>
#include <cstdint>
#include <numeric>
#include <string_view>

namespace anvilturn
{
namespace
{

constexpr std::uint64_t fnv_offset_basis = 0xcbf29ce484222325ULL;
constexpr std::uint64_t fnv_prime = 0x100000001b3ULL;

// FNV-1a; the separator keeps "ab", "c" apart from "a", "bc".
std::uint64_t add_to_hash(std::uint64_t hash, std::string_view text)
{
    for (const char c : text)
    {
        hash = (hash ^ static_cast<unsigned char>(c)) * fnv_prime;
    }
    return (hash ^ 0xffU) * fnv_prime;
}

// FNV-1a changes the highest bits little for the last bytes, and these decide
// the order; this is the finalizer of MurmurHash3.
std::uint64_t mix(std::uint64_t hash)
{
    constexpr unsigned shift = 33;
    hash = (hash ^ (hash >> shift)) * 0xff51afd7ed558ccdULL;
    hash = (hash ^ (hash >> shift)) * 0xc4ceb9fe1a85ec53ULL;
    return hash ^ (hash >> shift);
}

} // namespace

std::vector<std::size_t> grantor_order(const std::string& vm_name,
                                       const limit_key& key,
                                       const std::vector<std::string>& grantors)
{
    auto hash = add_to_hash(fnv_offset_basis, vm_name);
    hash = add_to_hash(hash, key.kind_ == limit_kind::account ? "a" : "t");
    hash = add_to_hash(hash, key.name_);
    std::vector<std::uint64_t> weights;
    weights.reserve(grantors.size());
    for (const auto& grantor : grantors)
    {
        weights.push_back(mix(add_to_hash(hash, grantor)));
    }
    std::vector<std::size_t> order(grantors.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::sort(order.begin(),
              order.end(),
              [&weights](std::size_t a, std::size_t b)
              {
                  return weights[a] < weights[b];
              });
    return order;
}

} // namespace anvilturn
