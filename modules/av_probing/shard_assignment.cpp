#include <av_probing/shard_assignment.hpp>

#include <av_probing/probe_lease_table.hpp>
#include <av_routing/random_bits.hpp>

#include <algorithm>
#include <cstdint>

namespace anvilturn
{

namespace
{

constexpr std::ptrdiff_t candidates_per_shard = 3;

std::uint64_t rank_of(std::size_t shard, std::string_view vm) noexcept
{
    return mix_bits(mix_bits(shard) ^ stable_hash(vm));
}

} // namespace

std::size_t shard_of_target(std::string_view target) noexcept
{
    return mix_bits(stable_hash(target)) % probe_shard_count;
}

std::vector<bool> candidate_shards(const fleet_view& fleet)
{
    const auto& members = fleet.members_;
    const auto& self = fleet.self_.name_;
    const bool is_member = std::any_of(members.begin(),
                                       members.end(),
                                       [&](const auto& vm)
                                       {
                                           return vm.name_ == self;
                                       });
    std::vector<bool> result(probe_shard_count, false);
    for (std::size_t shard = 0; is_member && shard < probe_shard_count; ++shard)
    {
        const auto local_rank = rank_of(shard, self);
        const auto ahead =
            std::count_if(members.begin(),
                          members.end(),
                          [&](const auto& vm)
                          {
                              return rank_of(shard, vm.name_) > local_rank;
                          });
        result[shard] = ahead < candidates_per_shard;
    }
    return result;
}

} // namespace anvilturn
