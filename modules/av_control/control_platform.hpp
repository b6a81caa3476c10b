#ifndef AV_CONTROL_CONTROL_PLATFORM_HPP
#define AV_CONTROL_CONTROL_PLATFORM_HPP

#include <av_core/milliseconds.hpp>
#include <av_platform/platform_call_counts.hpp>
#include <av_platform/platform_changes.hpp>
#include <av_platform/platform_client_options.hpp>
#include <av_platform/platform_listing.hpp>
#include <av_platform/platform_object.hpp>
#include <av_platform/platform_vm.hpp>

#include <absl/status/statusor.h>

#include <functional>
#include <optional>
#include <vector>

namespace boost
{
namespace asio
{
class io_context;
}
} // namespace boost

namespace anvilturn
{

// The calls to the platform that the control plane makes. Each invokes its
// callback once, on the control thread and never before the call returned.
struct control_platform
{
    template <typename Value>
    using callback = std::function<void(absl::StatusOr<Value>)>;

    std::function<void(callback<std::optional<platform_object>>)> read_release_;
    // Waits up to the given time for a change of the release after the
    // revision.
    std::function<void(
        store_revision since, milliseconds wait, callback<platform_changes>)>
        watch_release_;
    std::function<void(callback<std::vector<platform_vm>>)> list_vms_;
    std::function<platform_call_counts()> counts_;
};

// Creates the calls, which then run on the thread of the given context.
using platform_factory =
    std::function<control_platform(boost::asio::io_context&)>;

} // namespace anvilturn

#endif
