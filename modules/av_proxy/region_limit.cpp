#include <av_proxy/region_limit.hpp>

#include <algorithm>

namespace anvilturn
{
namespace
{

bool contains(const std::vector<std::string>& list,
              std::string_view text) noexcept
{
    return std::find(list.begin(), list.end(), text) != list.end();
}

} // namespace

void restrict_to(region_limit& limit, const std::vector<std::string>& allowed)
{
    if (allowed.empty())
    {
        return;
    }
    if (!limit.is_limited_)
    {
        limit.is_limited_ = true;
        limit.regions_ = allowed;
        return;
    }
    auto& regions = limit.regions_;
    regions.erase(std::remove_if(regions.begin(),
                                 regions.end(),
                                 [&allowed](const std::string& region)
                                 {
                                     return !contains(allowed, region);
                                 }),
                  regions.end());
}

bool allows(const region_limit& limit, std::string_view region) noexcept
{
    return !limit.is_limited_ ||
           (!region.empty() && contains(limit.regions_, region));
}

} // namespace anvilturn
