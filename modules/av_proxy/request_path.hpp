#ifndef AV_PROXY_REQUEST_PATH_HPP
#define AV_PROXY_REQUEST_PATH_HPP

#include <av_core/milliseconds.hpp>
#include <av_metrics/latency_recorder.hpp>
#include <av_model/fleet_view.hpp>
#include <av_model/release.hpp>
#include <av_model/target_notice.hpp>
#include <av_proxy/request_path_settings.hpp>
#include <av_proxy/request_path_statistics.hpp>

#include <absl/status/status.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace anvilturn
{

// Told once when this VM itself first sees that a target leaves. It is called
// on a thread of the request path and must not block.
using target_notice_listener = std::function<void(const target_notice&)>;

// The request path of one VM. Its member functions may be called from any
// thread; they are for the control plane, not for the path of a request. Made
// by request_path_builder.
class request_path
{
public:
    // Stops at once if finish was not called.
    ~request_path();
    request_path(const request_path&) = delete;
    request_path& operator=(const request_path&) = delete;

    // Listens and starts the threads. Fails if an address can't be bound.
    absl::Status start();

    // The addresses that are listened on, with the ports that were drawn.
    const std::string& callers_address() const;
    const std::string& forward_address() const;

    // Puts a release in force. One that is older than the one in force is
    // ignored.
    void publish(const release& value);

    // Takes the targets that registered themselves, by name. From then on the
    // targets that releases name don't count.
    void publish(const std::map<std::string, target_spec>& registered);

    // Tells which VMs there are.
    void publish(const fleet_view& value);

    // Takes up what another VM or the control plane learned of a target.
    void apply(const target_notice& notice);

    // Whether the platform's balancer may send callers here. Not ready at
    // first.
    void set_ready(bool ready);

    // Says when the control plane last learned which targets leave, as a point
    // of monotonic_now.
    void record_refresh(milliseconds point);

    // Says that neither the platform nor any peer can be reached.
    void set_isolated(bool isolated);

    // Fails the balancer's readiness check; calls are still served.
    void begin_drain();

    // Closes the listening sockets; open connections are still served.
    void stop_accepting();

    // Ends the calls that run, refuses those that wait as not run, and closes
    // connections as they fall idle. Blocks for at most the time limit; what
    // runs longer is broken off, which callers see as unknown. Returns whether
    // every call came to its end in time.
    bool finish(milliseconds time_limit);

    request_path_statistics statistics() const;

private:
    friend class request_path_builder;
    struct implementation;

    explicit request_path(std::unique_ptr<implementation> value);

    std::unique_ptr<implementation> implementation_;
};

} // namespace anvilturn

#endif
