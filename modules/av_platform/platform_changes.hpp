#ifndef AV_PLATFORM_PLATFORM_CHANGES_HPP
#define AV_PLATFORM_PLATFORM_CHANGES_HPP

#include <av_core/comparison.hpp>
#include <av_platform/platform_listing.hpp>

#include <string>
#include <tuple>
#include <vector>

namespace anvilturn
{

// One change of an object, as reported by a watch.
struct platform_change
{
    std::string key_;
    object_version version_ = object_absent;
    bool deleted_ = false;

    // Returns all members, for comparison.
    auto tie() const
    {
        return std::tie(key_, version_, deleted_);
    }
};

// The result of one watch; no events if it ended at its time limit. Events of
// successive watches may repeat or arrive out of order.
struct platform_changes
{
    // Pass it as "since" to the next watch.
    store_revision revision_ = 0;
    std::vector<platform_change> events_;

    // Returns all members, for comparison.
    auto tie() const
    {
        return std::tie(revision_, events_);
    }
};

} // namespace anvilturn

#endif
