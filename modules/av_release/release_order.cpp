#include <av_release/release_order.hpp>

namespace anvilturn
{

release_order compare_releases(const release& in_force, const release& offered)
{
    if (offered.version_ != in_force.version_)
    {
        return offered.version_ > in_force.version_ ? release_order::newer
                                                    : release_order::older;
    }
    return offered == in_force ? release_order::same : release_order::diverged;
}

const release& newer_release(const release& in_force, const release& offered)
{
    return compare_releases(in_force, offered) == release_order::newer
               ? offered
               : in_force;
}

} // namespace anvilturn
