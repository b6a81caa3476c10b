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

// An HTTP request to a VM's operator address.
struct vm_request
{
    std::string method_ = "GET";
    // Path with the query string.
    std::string path_;
    std::string body_;
    // Whether it may be sent to another VM although the first one may have
    // received it.
    bool idempotent_ = true;
};

// A VM's HTTP response.
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

// Sends the request to each VM in turn until one answers, and returns the
// response; the timeout applies to each VM separately. Errors:
//   vm_unreachable           no VM answered
//   release_outcome_unknown  a VM may have received a request that is not
//                            idempotent, but its response was lost
absl::StatusOr<vm_response> send_vm_request(const std::vector<std::string>& vms,
                                            const vm_request& request,
                                            milliseconds timeout);

} // namespace anvilturn

#endif
