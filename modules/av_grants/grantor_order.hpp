#ifndef AV_GRANTS_GRANTOR_ORDER_HPP
#define AV_GRANTS_GRANTOR_ORDER_HPP

#include <av_quota/limit_key.hpp>

#include <cstddef>
#include <string>
#include <vector>

namespace anvilturn
{

// Returns the order in which a VM asks the grantors for permits of a limit, as
// indices of their addresses. It depends on the VM's name and on the limit, so
// that the VMs share out their requests, and those of a grantor that is down,
// among the grantors.
std::vector<std::size_t>
grantor_order(const std::string& vm_name,
              const limit_key& key,
              const std::vector<std::string>& grantors);

} // namespace anvilturn

#endif
