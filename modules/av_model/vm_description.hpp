#ifndef AV_MODEL_VM_DESCRIPTION_HPP
#define AV_MODEL_VM_DESCRIPTION_HPP

#include <av_core/comparison.hpp>

#include <cstdint>
#include <string>
#include <tuple>

namespace anvilturn
{

// Identity and addresses of one VM. Addresses are an IP address and a port.
struct vm_description
{
    // Unique among the VMs that run at the same time.
    std::string name_;
    std::string failure_domain_;
    // Chosen at each start from the time and random bits; distinguishes a VM
    // from an earlier one of the same name that it replaced.
    std::uint64_t incarnation_ = 0;
    // For calls of other VMs (Cap'n Proto RPC).
    std::string peer_address_;
    // For calls that other VMs forward (HTTP).
    std::string forward_address_;
    // For operators (HTTP).
    std::string operator_address_;

    // Returns all members, for comparison.
    auto tie() const
    {
        return std::tie(name_,
                        failure_domain_,
                        incarnation_,
                        peer_address_,
                        forward_address_,
                        operator_address_);
    }

    friend bool operator==(const vm_description& a, const vm_description& b)
    {
        return a.tie() == b.tie();
    }

    friend bool operator!=(const vm_description& a, const vm_description& b)
    {
        return !(a == b);
    }
};

} // namespace anvilturn

#endif
