#ifndef AV_FEED_STORE_CALL_COUNTS_HPP
#define AV_FEED_STORE_CALL_COUNTS_HPP

#include <av_core/comparison.hpp>

#include <cstdint>
#include <tuple>

namespace anvilturn
{

// Counts of the calls that this VM has made to the platform's store since its
// start, by kind.
struct store_call_counts
{
    std::uint64_t lists_ = 0;
    std::uint64_t watches_ = 0;
    std::uint64_t checks_ = 0;
    // Calls that ended in an error.
    std::uint64_t failures_ = 0;
    std::uint64_t connections_ = 0;

    // Returns all members, for comparison.
    auto tie() const
    {
        return std::tie(lists_, watches_, checks_, failures_, connections_);
    }
};

} // namespace anvilturn

#endif
