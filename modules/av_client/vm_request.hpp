#ifndef AV_CLIENT_VM_REQUEST_HPP
#define AV_CLIENT_VM_REQUEST_HPP

#include <av_core/comparison.hpp>
#include <av_core/milliseconds.hpp>

#include <absl/status/statusor.h>

#include <string>
#include <tuple>
#include <vector>

namespace anvilturn
{

// One call to a VM's operator address.
struct vm_request
{
    std::string method_ = "GET";
    // With the query.
    std::string path_;
    std::string body_;
    // Whether it may be sent to a second VM when a first one may have got it.
    bool repeatable_ = true;
};

// What the VM answered.
struct vm_response
{
    // HTTP status.
    unsigned status_ = 0;
    std::string body_;

    // Returns all members, for comparison.
    auto tie() const
    {
        return std::tie(status_, body_);
    }
};

// Calls the first of the VMs that can be reached, and waits for its answer.
// Errors:
//   vm_unreachable           no VM answered
//   release_outcome_unknown  a VM may have got a call that is not repeatable,
//                            but its answer was lost
absl::StatusOr<vm_response> send_vm_request(const std::vector<std::string>& vms,
                                            const vm_request& request,
                                            milliseconds timeout);

} // namespace anvilturn

#endif
