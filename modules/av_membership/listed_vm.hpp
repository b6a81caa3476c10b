#ifndef AV_MEMBERSHIP_LISTED_VM_HPP
#define AV_MEMBERSHIP_LISTED_VM_HPP

#include <av_core/comparison.hpp>
#include <string>
#include <tuple>

namespace anvilturn
{

// One entry of the platform's list of VMs. The list lags: it may contain VMs
// that no longer run and lack VMs that do.
struct listed_vm
{
    std::string name_;
    std::string peer_address_;
    bool leaving_ = false;

    // Returns all members, for comparison.
    auto tie() const
    {
        return std::tie(name_, peer_address_, leaving_);
    }
};

} // namespace anvilturn

#endif
