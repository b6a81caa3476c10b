#ifndef AV_SPREAD_SEQUENCED_NOTICE_HPP
#define AV_SPREAD_SEQUENCED_NOTICE_HPP

#include <av_core/comparison.hpp>

#include <av_model/target_notice.hpp>

#include <cstdint>
#include <tuple>

namespace anvilturn
{

// A notice with its unique identity, by which repetitions are detected: the
// incarnation of the VM that made it, and that VM's sequence number.
struct sequenced_notice
{
    target_notice notice_;
    std::uint64_t incarnation_ = 0;
    std::uint32_t sequence_ = 0;

    // Returns all members, for comparison.
    auto tie() const
    {
        return std::tie(notice_, incarnation_, sequence_);
    }
};

} // namespace anvilturn

#endif
