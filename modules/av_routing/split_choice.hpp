#ifndef AV_ROUTING_SPLIT_CHOICE_HPP
#define AV_ROUTING_SPLIT_CHOICE_HPP

#include <av_model/weighted_service.hpp>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace anvilturn
{

// Returns the index of the part that gets a call of a split rule. Consecutive
// numbers are spread over the parts by weight as evenly as possible, so that
// the shares also hold for small counts; the phase, in 0 to 1, is a random
// number that each VM chooses once, so that they hold for all VMs together too.
// Without a positive weight the first part gets every call. The parts must not
// be empty.
std::size_t choose_part(const std::vector<weighted_service>& parts,
                        double phase,
                        std::uint64_t number) noexcept;

} // namespace anvilturn

#endif
