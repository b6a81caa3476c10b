#include <av_release/release_order.hpp>

namespace anvilturn
{

release_order compare_releases(const release& in_force, const release& received)
{
    if (received.version_ != in_force.version_)
    {
        return received.version_ > in_force.version_ ? release_order::newer
                                                     : release_order::older;
    }
    return received == in_force ? release_order::same : release_order::diverged;
}

const release& newer_release(const release& in_force, const release& received)
{
    return compare_releases(in_force, received) == release_order::newer
               ? received
               : in_force;
}

} // namespace anvilturn
