#ifndef AV_PLATFORM_PLATFORM_VM_HPP
#define AV_PLATFORM_PLATFORM_VM_HPP

#include <av_core/comparison.hpp>

#include <string>
#include <tuple>

namespace anvilturn
{

// One row of the platform's list of VMs. The list lags behind the actual state:
// it may contain VMs that no longer exist and lack new ones.
struct platform_vm
{
    std::string name_;
    std::string failure_domain_;
    // IP address and port at which peers call the VM.
    std::string peer_address_;
    bool leaving_ = false;

    // Returns all members, for comparison.
    auto tie() const
    {
        return std::tie(name_, failure_domain_, peer_address_, leaving_);
    }
};

} // namespace anvilturn

#endif
