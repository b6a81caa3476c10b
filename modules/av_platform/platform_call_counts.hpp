#ifndef AV_PLATFORM_PLATFORM_CALL_COUNTS_HPP
#define AV_PLATFORM_PLATFORM_CALL_COUNTS_HPP

#include <av_core/comparison.hpp>

#include <cstdint>
#include <tuple>

namespace anvilturn
{

// Counts of the calls that a client has sent to the platform, by kind. A watch
// counts as one call, however long it waits.
struct platform_call_counts
{
    std::uint64_t gets_ = 0;
    std::uint64_t puts_ = 0;
    std::uint64_t removes_ = 0;
    std::uint64_t lists_ = 0;
    std::uint64_t watches_ = 0;
    std::uint64_t vm_lists_ = 0;
    // Calls that ended in an error other than version_mismatch or
    // object_unknown.
    std::uint64_t failures_ = 0;
    // Connections opened. Far fewer than calls if connections are reused.
    std::uint64_t connections_ = 0;

    // Returns all members, for comparison.
    auto tie() const
    {
        return std::tie(gets_,
                        puts_,
                        removes_,
                        lists_,
                        watches_,
                        vm_lists_,
                        failures_,
                        connections_);
    }
};

} // namespace anvilturn

#endif
