#ifndef AV_DAEMON_DAEMON_IMPLEMENTATION_HPP
#define AV_DAEMON_DAEMON_IMPLEMENTATION_HPP

// Internal to this module, since it includes Asio headers.

#include <av_acceptor/release_acceptor.hpp>
#include <av_control/control_plane.hpp>
#include <av_core/monotonic_clock.hpp>
#include <av_daemon/daemon.hpp>
#include <av_daemon/daemon_state.hpp>
#include <av_daemon/fleet_grants.hpp>
#include <av_daemon/graceful_stop.hpp>
#include <av_daemon/isolation_detection.hpp>
#include <av_daemon/platform_bounds.hpp>
#include <av_daemon/target_prober.hpp>
#include <av_daemon/target_return_monitor.hpp>
#include <av_feed/registry_control.hpp>
#include <av_feed/store_adapter.hpp>
#include <av_metrics/latency_recorder.hpp>
#include <av_net/duration.hpp>
#include <av_operator/operator_server.hpp>
#include <av_platform/platform_client.hpp>
#include <av_proxy/request_path.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <memory>
#include <string>

namespace anvilturn
{

// The parts of the process and how they are connected. Its member functions are
// defined in daemon.cpp, those for the sources of releases and targets in
// daemon_sources.cpp, and those for operators in daemon_routes.cpp.
class daemon::implementation
{
public:
    implementation(const settings& value, std::string settings_file);
    ~implementation();
    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;

    // Starts everything; fails if an address can't be bound or the store
    // adapter is unknown.
    absl::Status start();

    // Serves until the process is to end; returns its exit code.
    int run();

private:
    absl::Status start_request_path(const store_adapter* adapter);
    absl::Status start_servers();
    operator_response make_readiness_response() const;
    bool is_ready() const;

    // Starts the source of releases and targets: the registry of the
    // platform's store if there is a store adapter, the control plane
    // otherwise.
    absl::Status start_configuration_source(const store_adapter* adapter);
    absl::Status start_registry(const store_adapter& adapter);

    // Reports the VM as ready once it has a release and, if targets come
    // from the store, the targets too; these are not known before the
    // evacuations.
    void update_readiness();
    absl::Status start_control();

    // Applies a notice that this VM itself made about a target, and reports
    // it to the peers.
    void apply_and_report_notice(const target_notice& notice);

    // Checks whether targets have returned that are marked as leaving but
    // are not draining in the release.
    void check_target_returns();

    // Publishes a snapshot to the prober, which runs on the operator
    // thread. May be called from any thread.
    template <typename Snapshot>
    void publish_to_prober(const std::shared_ptr<const Snapshot>& value)
    {
        boost::asio::post(context_,
                          [this, value]
                          {
                              prober_->publish(*value);
                          });
    }

    // Runs on the thread of the control plane, or on the operator thread if
    // releases come from the store.
    void apply_release(std::shared_ptr<const release> value);
    void add_routes();
    void add_release_routes();
    void submit_release(const release& newest);
    release_version version_in_force() const;
    void add_state_route(const std::string& path,
                         std::string (*render)(const daemon_state&));
    daemon_state read_state() const;
    void report_contact();
    void collect_latency();
    void watch_signals();

    // Reloads the settings file. Only the log level changes in a running
    // process; if the file is invalid, the old settings stay in force.
    void reload();
    stop_actions make_stop_actions();
    void leave_fleet();
    void stop_event_loop();
    template <typename Work>
    void schedule_repeating(boost::asio::steady_timer& timer,
                            milliseconds interval,
                            Work work)
    {
        timer.expires_after(to_duration(interval));
        timer.async_wait(
            [this, &timer, interval, work](
                const boost::system::error_code& error)
            {
                if (error)
                {
                    return;
                }
                schedule_repeating(timer, interval, work);
                work();
            });
    }

    const settings settings_;
    const std::string settings_file_;
    const milliseconds started_at_ = monotonic_now();
    boost::asio::io_context context_{1};
    boost::asio::signal_set signals_;
    boost::asio::steady_timer contact_report_timer_{context_};
    boost::asio::steady_timer latency_collection_timer_{context_};
    boost::asio::steady_timer return_check_timer_{context_};
    operator_server operator_server_;
    operator_server readiness_server_;
    platform_client platform_;
    release_acceptor acceptor_;
    latency_recorder recorder_;
    fleet_grants fleet_grants_;
    latency_summary latency_;
    milliseconds latency_window_started_at_ = monotonic_now();
    isolation_state isolation_;
    std::atomic<bool> ready_{false};
    std::atomic<bool> has_release_{false};
    std::atomic<bool> has_targets_{false};

    // Written by the control thread, or by the operator thread if releases
    // come from the store; read by the operator thread. Accessed only by
    // std::atomic_load and std::atomic_store.
    std::shared_ptr<const release> release_;
    std::shared_ptr<const fleet_view> fleet_;
    std::unique_ptr<request_path> request_path_;

    // One of the two is the source of releases and targets; the other is
    // null.
    std::unique_ptr<control_plane> control_;
    std::unique_ptr<registry_control> registry_;
    std::unique_ptr<target_prober> prober_;

    // Declared after everything its actions refer to, so that it is
    // destroyed before them.
    graceful_stop graceful_stop_{context_,
                                 apply_platform_bounds(settings_.shutdown()),
                                 make_stop_actions()};
    target_return_monitor return_monitor_{context_,
                                          settings_.vm().name_,
                                          monotonic_now,
                                          [this](const target_notice& notice)
                                          {
                                              apply_and_report_notice(notice);
                                          }};
};

} // namespace anvilturn

#endif
