#ifndef AV_PLATFORM_PLATFORM_LISTING_HPP
#define AV_PLATFORM_PLATFORM_LISTING_HPP

#include <av_core/comparison.hpp>
#include <av_platform/platform_object.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <tuple>

namespace anvilturn
{

// Revision of the platform's store; grows with each write of any object. A
// watch returns the changes after one.
using store_revision = std::uint64_t;

// The objects under a prefix as of one revision of the store.
struct platform_listing
{
    store_revision revision_ = 0;
    // Version by key.
    std::map<std::string, object_version> objects_;

    // Returns all members, for comparison.
    auto tie() const
    {
        return std::tie(revision_, objects_);
    }
};

} // namespace anvilturn

#endif
