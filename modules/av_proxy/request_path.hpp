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
#include <set>
#include <string>

namespace anvilturn
{

// Called once when this VM itself first sees that a target is draining. It runs
// on a thread of the request path and must not block.
using target_notice_listener = std::function<void(const target_notice&)>;

// The request path of one VM: accepts calls and proxies them to targets. Its
// member functions may be called from any thread. They are for the control
// plane; serving a request calls none of them. Made by request_path_builder.
class request_path
{
public:
    // Stops immediately, aborting running calls, if finish was not called.
    ~request_path();
    request_path(const request_path&) = delete;
    request_path& operator=(const request_path&) = delete;

    // Listens and starts the threads. Fails if an address can't be bound.
    absl::Status start();

    // The listening addresses, with the ports that the system assigned.
    const std::string& callers_address() const;
    const std::string& forward_address() const;

    // Makes a release the current one. A release older than the current one is
    // ignored.
    void publish(const release& value);

    // Sets the targets that registered themselves, by name. From then on the
    // targets listed in releases are ignored.
    void publish(const std::map<std::string, target_spec>& registered);

    // Sets the evacuated failure domains, whose targets get no new calls and no
    // load queries.
    void publish_evacuations(std::set<std::string> failure_domains);

    // Sets the VMs of the fleet.
    void publish(const fleet_view& value);

    // Applies what another VM or the control plane reported about a target.
    // Returns false, and gives a notice to the listener, if it says that a
    // target serves which has shown since that it is draining: the others know
    // only the first sign of it and would not check for its return here.
    bool apply(const target_notice& notice);

    // Sets whether the platform's load balancer may send callers here. False at
    // first.
    void set_ready(bool ready);

    // Records when the control plane last learned which targets are draining,
    // as a point in time of monotonic_now.
    void record_refresh(milliseconds point);

    // Sets whether this VM is isolated: neither the platform nor any peer can
    // be reached.
    void set_isolated(bool isolated);

    // Makes the balancer's readiness check fail. Calls are still served, but
    // for those that can't be answered within the time limit, after which this
    // VM ends: they are refused as not run, so that another VM can serve them.
    void begin_drain(milliseconds time_limit);

    // Closes the listening sockets; open connections are still served.
    void stop_accepting();

    // Lets running calls end, refuses waiting calls as not run, and closes
    // connections as they become idle. Blocks for at most the time limit; calls
    // that run longer are answered before its end with the outcome unknown, or
    // aborted if their response was relayed in part.
    // Returns whether every call ended in time.
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
