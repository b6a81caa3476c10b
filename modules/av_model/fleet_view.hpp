#ifndef AV_MODEL_FLEET_VIEW_HPP
#define AV_MODEL_FLEET_VIEW_HPP

#include <av_core/comparison.hpp>

#include <av_core/milliseconds.hpp>
#include <av_model/vm_description.hpp>

#include <tuple>
#include <vector>

namespace anvilturn
{

// The VMs that one VM considers alive and not leaving, sorted by name. Includes
// the local VM while that is not leaving. The control plane publishes a new
// view on each change; the request path reads it.
struct fleet_view
{
    vm_description self_;
    std::vector<vm_description> members_;

    // Returns all members, for comparison.
    auto tie() const
    {
        return std::tie(self_, members_);
    }
};

} // namespace anvilturn

#endif
