#ifndef AV_PROXY_REGION_LIMIT_HPP
#define AV_PROXY_REGION_LIMIT_HPP

#include <string>
#include <string_view>
#include <vector>

namespace anvilturn
{

// The regions in which a call may run.
struct region_limit
{
    bool is_limited_ = false;
    // Used only if limited; none if several limits have no region in common.
    std::vector<std::string> regions_;
};

// Limits the call to the regions of the list, too. An empty list does not limit
// it.
void restrict_to(region_limit& limit, const std::vector<std::string>& allowed);

// Returns whether the call may run in the region. An empty region is that of a
// failure domain which belongs to none.
bool allows(const region_limit& limit, std::string_view region) noexcept;

} // namespace anvilturn

#endif
