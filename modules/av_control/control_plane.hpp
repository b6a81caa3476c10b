#ifndef AV_CONTROL_CONTROL_PLANE_HPP
#define AV_CONTROL_CONTROL_PLANE_HPP

#include <av_control/control_handlers.hpp>
#include <av_control/control_options.hpp>
#include <av_control/control_state.hpp>
#include <av_model/target_notice.hpp>
#include <av_spread/release_document.hpp>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <functional>
#include <memory>

namespace anvilturn
{

// The control plane of one VM; it runs on three threads of its own. All
// functions may be called from any thread; only read_state blocks.
class control_plane
{
public:
    // Starts a control plane. Fails with settings_invalid if the peer address
    // can't be bound.
    static absl::StatusOr<std::unique_ptr<control_plane>>
    start(control_options options, control_handlers handlers);

    // Stops the threads. No handler runs afterwards.
    ~control_plane();

    control_plane(const control_plane&) = delete;
    control_plane& operator=(const control_plane&) = delete;

    // Returns the description of this VM that peers receive.
    const vm_description& self() const noexcept;

    // Sends a notice about a target to the peers. Changes of the target's state
    // are pushed at once, probe results are sent with the next exchanges.
    void report(target_notice notice);

    // Applies a release whose acceptance was confirmed, and notifies the peers
    // at once. A release older than the current one is ignored.
    void submit_release(release_document document);

    // Notifies all peers that this VM is leaving; from then on it is not a
    // member. The callback runs on the control thread once every peer was
    // notified or failed, within the call timeout of the peer options.
    void begin_leave(std::function<void()> on_done);

    // Returns the start of the last successful call to a peer or the platform.
    // It does not advance while the VM is paused or disconnected, and says
    // nothing about how current the VM's state is. Costs one atomic load.
    milliseconds last_contact() const noexcept;

    // Returns the monotonic time up to which this VM's state is known to be
    // current: the start of the last call whose response showed that this VM is
    // not behind. A list of VMs does not show it, nor does a release that is
    // older than one that the platform has reported. Costs one atomic load.
    milliseconds current_at() const noexcept;

    // Returns a snapshot of the state; blocks until the control thread has made
    // it.
    control_state read_state() const;

private:
    class implementation;
    explicit control_plane(std::unique_ptr<implementation> impl);

    std::unique_ptr<implementation> implementation_;
};

} // namespace anvilturn

#endif
