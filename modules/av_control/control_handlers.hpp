#ifndef AV_CONTROL_CONTROL_HANDLERS_HPP
#define AV_CONTROL_CONTROL_HANDLERS_HPP

#include <av_model/fleet_view.hpp>
#include <av_model/release.hpp>
#include <av_model/target_notice.hpp>

#include <functional>
#include <memory>

namespace anvilturn
{

// Callbacks through which the control plane notifies the rest of the program.
// They run on the control thread and must not block; empty ones are not called.
struct control_handlers
{
    // A newer release is in force. Versions increase from call to call.
    std::function<void(std::shared_ptr<const release>)> on_release_;
    // The fleet view changed.
    std::function<void(std::shared_ptr<const fleet_view>)> on_fleet_;
    // A peer sent a notice about a target. Repeated and older ones are not
    // passed on.
    std::function<void(target_notice)> on_notice_;
};

} // namespace anvilturn

#endif
