#ifndef AV_ROUTING_DISPATCHER_VM_HPP
#define AV_ROUTING_DISPATCHER_VM_HPP

#include <av_model/fleet_view.hpp>
#include <av_model/vm_description.hpp>

#include <string_view>

namespace anvilturn
{

// Returns the VM that dispatches the service for a failure domain: the member
// of that domain with the highest rendezvous hash, so that a change of one
// member moves only the services it had or now gets. Returns null if the view
// has no member in the domain. VMs whose views differ may name different VMs
// for a moment; that costs balance, never correctness. The pointer is into the
// view. The cost is one hash for each member: compute it once for each fleet
// view and service, not for each call.
const vm_description* dispatcher_vm(std::string_view service,
                                    std::string_view failure_domain,
                                    const fleet_view& fleet);

} // namespace anvilturn

#endif
