#include <av_routing/dispatcher_vm.hpp>

#include <av_routing/random_bits.hpp>

#include <cstdint>

namespace anvilturn
{

const vm_description* dispatcher_vm(std::string_view service,
                                    std::string_view failure_domain,
                                    const fleet_view& fleet)
{
    const auto service_hash = stable_hash(service);
    const vm_description* best = nullptr;
    std::uint64_t best_score = 0;
    for (const auto& member : fleet.members_)
    {
        if (member.failure_domain_ != failure_domain)
        {
            continue;
        }
        const auto score = mix_bits(service_hash ^ stable_hash(member.name_));
        const bool wins = best == nullptr || score > best_score ||
                          (score == best_score && member.name_ < best->name_);
        if (wins)
        {
            best = &member;
            best_score = score;
        }
    }
    return best;
}

} // namespace anvilturn
