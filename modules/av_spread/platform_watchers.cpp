#include <av_spread/platform_watchers.hpp>

#include <algorithm>
#include <cstdint>
#include <string>
#include <utility>

namespace anvilturn
{
namespace
{

// Must give the same value on every VM and in every version of the program,
// which std::hash does not guarantee. FNV-1a with a final mix of the bits.
std::uint64_t rendezvous_hash(const std::string& text)
{
    constexpr std::uint64_t offset = 14695981039346656037ULL;
    constexpr std::uint64_t prime = 1099511628211ULL;
    constexpr std::uint64_t mixer = 0xff51afd7ed558ccdULL;
    std::uint64_t hash = offset;
    for (const char c : text)
    {
        hash = (hash ^ static_cast<unsigned char>(c)) * prime;
    }
    hash = (hash ^ (hash >> 33U)) * mixer;
    return hash ^ (hash >> 33U);
}

std::pair<std::uint64_t, std::string> weight_of(const vm_description& vm)
{
    return {rendezvous_hash(vm.failure_domain_ + "/" + vm.name_), vm.name_};
}

} // namespace

bool is_platform_watcher(const fleet_view& fleet)
{
    const auto local_weight = weight_of(fleet.self_);
    const auto greater_count = std::count_if(
        fleet.members_.begin(),
        fleet.members_.end(),
        [&](const vm_description& vm)
        {
            return vm.failure_domain_ == fleet.self_.failure_domain_ &&
                   weight_of(vm) > local_weight;
        });
    return static_cast<std::size_t>(greater_count) < watchers_per_domain;
}

} // namespace anvilturn
