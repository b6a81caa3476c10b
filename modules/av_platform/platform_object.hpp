#ifndef AV_PLATFORM_PLATFORM_OBJECT_HPP
#define AV_PLATFORM_PLATFORM_OBJECT_HPP

#include <av_core/comparison.hpp>

#include <cstdint>
#include <string>
#include <tuple>

namespace anvilturn
{

// Version of one object of the platform; grows with each write of that object.
using object_version = std::uint64_t;

// The expected version of an object that must not exist yet.
constexpr object_version object_absent = 0;

// One object as the platform returned it. A read may be stale; only a
// successful conditional write proves that the version was the latest.
struct platform_object
{
    object_version version_ = object_absent;
    std::string value_;

    // Returns all members, for comparison.
    auto tie() const
    {
        return std::tie(version_, value_);
    }
};

} // namespace anvilturn

#endif
