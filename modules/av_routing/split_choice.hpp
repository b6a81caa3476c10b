#ifndef AV_ROUTING_SPLIT_CHOICE_HPP
#define AV_ROUTING_SPLIT_CHOICE_HPP

#include <av_model/weighted_service.hpp>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace anvilturn
{

// Returns the index of the part that takes a call of a split rule. Numbers
// that follow each other are spread over the parts by weight as evenly as can
// be, so that shares hold for small counts too; the phase, in 0 to 1, is
// drawn once by each VM, so that the VMs together hold them as well. Without a
// positive weight the first part takes every call. The parts must not be
// empty.
std::size_t choose_part(const std::vector<weighted_service>& parts,
                        double phase,
                        std::uint64_t number) noexcept;

} // namespace anvilturn

#endif
