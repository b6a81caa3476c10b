#include <av_daemon/daemon.hpp>

#include <av_acceptor/release_acceptor.hpp>
#include <av_acceptor/release_routes.hpp>
#include <av_control/control_plane.hpp>
#include <av_control/document_digest.hpp>
#include <av_core/log_event.hpp>
#include <av_core/monotonic_clock.hpp>
#include <av_daemon/daemon_options.hpp>
#include <av_daemon/daemon_state.hpp>
#include <av_daemon/graceful_stop.hpp>
#include <av_daemon/isolation_detection.hpp>
#include <av_daemon/metrics_page.hpp>
#include <av_daemon/platform_binding.hpp>
#include <av_daemon/platform_bounds.hpp>
#include <av_daemon/process_usage.hpp>
#include <av_daemon/state_dump.hpp>
#include <av_daemon/target_prober.hpp>
#include <av_daemon/target_return_monitor.hpp>
#include <av_feed/registry_control.hpp>
#include <av_feed/store_adapter.hpp>
#include <av_metrics/latency_recorder.hpp>
#include <av_net/duration.hpp>
#include <av_net/event_loop.hpp>
#include <av_operator/operator_server.hpp>
#include <av_platform/platform_client.hpp>
#include <av_platform/platform_keys.hpp>
#include <av_proxy/request_path_builder.hpp>
#include <av_release/release_codec.hpp>
#include <av_routing/choice_policy.hpp>
#include <av_settings/settings_reader.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <csignal>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace anvilturn
{
namespace
{

namespace asio = boost::asio;

// Interval at which the control plane's last contact is reported to the request
// path.
constexpr milliseconds contact_report_interval{50.0};
// Interval at which latencies are collected from the request path.
constexpr milliseconds latency_collection_interval{500.0};
// Interval at which targets marked as leaving are checked for their return.
constexpr milliseconds return_check_interval{3000.0};
// The window over which latency percentiles are computed.
constexpr milliseconds latency_window{10000.0};

// Error code of a timer's completion; set if the timer was cancelled.
using timer_result = boost::system::error_code;

} // namespace

class daemon::implementation
{
public:
    implementation(const settings& value, std::string settings_file)
        : settings_(value)
        , settings_file_(std::move(settings_file))
        , signals_(context_, SIGTERM, SIGINT, SIGHUP)
        , operator_server_(context_, operator_options(value))
        , readiness_server_(context_, readiness_options(value))
        , platform_(context_, platform_options(value))
        , acceptor_(context_,
                    platform_,
                    acceptor_options(value),
                    [this]
                    {
                        return version_in_force();
                    })
        , recorder_(static_cast<std::size_t>(value.request_path().threads_))
    {
    }

    ~implementation()
    {
        // The control plane's handlers refer to the request path and to this
        // object.
        control_.reset();
    }

    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;

    absl::Status start()
    {
        const auto adapter = configured_adapter(settings_);
        if (!adapter.ok())
        {
            return adapter.status();
        }
        if (auto status = start_request_path(*adapter); !status.ok())
        {
            return status;
        }
        add_routes();
        if (auto status = start_configuration_source(*adapter); !status.ok())
        {
            return status;
        }
        if (auto status = start_servers(); !status.ok())
        {
            return status;
        }
        watch_signals();
        schedule_repeating(latency_collection_timer_,
                           latency_collection_interval,
                           [this]
                           {
                               collect_latency();
                           });
        log_event(log_level::info, "vm_started")
            .field("vm", settings_.vm().name_)
            .field("failure_domain", settings_.vm().failure_domain_)
            .field("callers", request_path_->callers_address())
            .field("adapter", settings_.platform().adapter_)
            .write();
        return absl::OkStatus();
    }

    int run()
    {
        run_event_loop(context_, "main");
        return graceful_stop_.exit_code();
    }

private:
    absl::Status start_request_path(const store_adapter* adapter)
    {
        auto path = path_settings(settings_);
        if (adapter != nullptr)
        {
            path.dialect_ = adapter->dialect_();
        }
        auto built = request_path_builder()
                         .settings(path)
                         .recorder(recorder_)
                         .notice_listener(
                             [this](const target_notice& notice)
                             {
                                 asio::post(context_,
                                            [this, notice]
                                            {
                                                if (control_)
                                                {
                                                    control_->report(notice);
                                                }
                                            });
                             })
                         .build();
        if (!built.ok())
        {
            return built.status();
        }
        request_path_ = std::move(*built);
        return request_path_->start();
    }

    absl::Status start_servers()
    {
        if (auto status = operator_server_.start(); !status.ok())
        {
            return status;
        }
        if (settings_.listen().readiness_.empty())
        {
            return absl::OkStatus();
        }
        readiness_server_.add_route("GET",
                                    settings_.listen().readiness_path_,
                                    [this](const operator_request&)
                                    {
                                        return make_readiness_response();
                                    });
        return readiness_server_.start();
    }

    operator_response make_readiness_response() const
    {
        constexpr unsigned ready_status = 200;
        constexpr unsigned unready_status = 503;
        const bool ready = is_ready();
        operator_response response;
        response.status_ = ready ? ready_status : unready_status;
        response.body_ = ready ? "ready\n" : "not ready\n";
        return response;
    }

    bool is_ready() const
    {
        return ready_ && graceful_stop_.phase() == shutdown_phase::serving;
    }

    // Starts the source of releases and targets: the registry of the platform's
    // store if there is a store adapter, the control plane otherwise.
    absl::Status start_configuration_source(const store_adapter* adapter)
    {
        if (adapter != nullptr)
        {
            return start_registry(*adapter);
        }
        if (auto status = start_control(); !status.ok())
        {
            return status;
        }
        add_release_routes();
        schedule_repeating(contact_report_timer_,
                           contact_report_interval,
                           [this]
                           {
                               report_contact();
                           });
        schedule_repeating(return_check_timer_,
                           return_check_interval,
                           [this]
                           {
                               check_target_returns();
                           });
        return absl::OkStatus();
    }

    absl::Status start_registry(const store_adapter& adapter)
    {
        fleet_view fleet;
        fleet.self_ = self_description(settings_);
        fleet.members_.push_back(fleet.self_);
        request_path_->publish(fleet);
        registry_handlers handlers;
        handlers.on_release_ = [this](std::shared_ptr<const release> value)
        {
            apply_release(std::move(value));
        };
        handlers.on_targets_ =
            [this](const std::map<std::string, target_spec>& targets)
        {
            request_path_->publish(targets);
            has_targets_ = true;
            update_readiness();
        };
        handlers.on_evacuations_ = [this](const std::set<std::string>& domains)
        {
            request_path_->publish_evacuations(domains);
        };
        const auto store = store_options_of(settings_);
        registry_options options;
        options.failure_domain_ = settings_.vm().failure_domain_;
        options.peer_address_ = settings_.listen().peers_;
        options.watchers_ = settings_.vm().seed_peers_;
        options.target_heartbeat_interval_ =
            settings_.platform().target_heartbeat_interval_;
        options.service_defaults_ = store.service_defaults_;
        registry_ =
            std::make_unique<registry_control>(context_,
                                               std::move(options),
                                               adapter.open_(context_, store),
                                               std::move(handlers));
        return registry_->start();
    }

    // Reports the VM as ready once it has a release and, if targets come from
    // the store, the targets too; these are not known before the evacuations.
    void update_readiness()
    {
        const bool ready =
            has_release_ && (registry_ == nullptr || has_targets_);
        if (!ready_.exchange(ready) && ready)
        {
            request_path_->set_ready(true);
            log_event(log_level::info, "vm_ready").write();
        }
    }

    absl::Status start_control()
    {
        control_options options;
        options.self_ = self_description(settings_);
        options.deployment_ = settings_.vm().deployment_;
        options.seed_addresses_ = settings_.vm().seed_peers_;
        options.platform_ =
            bind_platform(platform_options(settings_), options.deployment_);
        options.decode_ = [](const std::string& text)
        {
            return parse_release(text, "release");
        };

        control_handlers handlers;
        handlers.on_release_ = [this](std::shared_ptr<const release> value)
        {
            apply_release(std::move(value));
        };
        handlers.on_fleet_ = [this](std::shared_ptr<const fleet_view> value)
        {
            request_path_->publish(*value);
            publish_to_prober(value);
            std::atomic_store(&fleet_, std::move(value));
        };
        handlers.on_notice_ = [this](const target_notice& notice)
        {
            request_path_->apply(notice);
        };

        auto started =
            control_plane::start(std::move(options), std::move(handlers));
        if (!started.ok())
        {
            return started.status();
        }
        control_ = std::move(*started);
        prober_ =
            std::make_unique<target_prober>(context_,
                                            platform_,
                                            settings_.vm().deployment_,
                                            control_->self(),
                                            [this](const target_notice& notice)
                                            {
                                                apply_and_report_notice(notice);
                                            });
        return absl::OkStatus();
    }

    // Applies a notice that this VM itself made about a target, and reports it
    // to the peers.
    void apply_and_report_notice(const target_notice& notice)
    {
        request_path_->apply(notice);
        control_->report(notice);
    }

    // Checks whether targets have returned that are marked as leaving but are
    // not draining in the release.
    void check_target_returns()
    {
        const auto current_release = std::atomic_load(&release_);
        const auto fleet = std::atomic_load(&fleet_);
        if (!current_release || !fleet)
        {
            return;
        }
        std::vector<target_spec> marked_as_leaving;
        for (const auto& evidence : request_path_->statistics().targets_)
        {
            const auto spec = current_release->targets_.find(evidence.target_);
            if (evidence.draining_ && spec != current_release->targets_.end() &&
                !spec->second.draining_)
            {
                marked_as_leaving.push_back(spec->second);
            }
        }
        return_monitor_.check(marked_as_leaving, *fleet);
    }

    // Publishes a snapshot to the prober, which runs on the operator thread.
    // May be called from any thread.
    template <typename Snapshot>
    void publish_to_prober(const std::shared_ptr<const Snapshot>& value)
    {
        asio::post(context_,
                   [this, value]
                   {
                       prober_->publish(*value);
                   });
    }

    // Runs on the thread of the control plane, or on the operator thread if
    // releases come from the store.
    void apply_release(std::shared_ptr<const release> value)
    {
        request_path_->publish(*value);
        has_release_ = true;
        update_readiness();
        if (prober_)
        {
            publish_to_prober(value);
        }
        log_event(log_level::info, "release_in_force")
            .field("version", value->version_)
            .field("note", value->note_id_)
            .write();
        std::atomic_store(&release_, std::move(value));
    }

    void add_routes()
    {
        add_state_route("/v1/dump", render_dump);
        add_state_route("/v1/vms", render_vms);
        add_state_route("/v1/targets", render_targets);
        add_state_route("/v1/release/status", render_release_status);
        operator_server_.add_route("GET",
                                   "/metrics",
                                   [this](const operator_request&)
                                   {
                                       operator_response response;
                                       response.content_type_ =
                                           "text/plain; version=0.0.4";
                                       response.body_ = render_exposition(
                                           collect_metrics(read_state()));
                                       return response;
                                   });
    }

    void add_release_routes()
    {
        release_routes_options options;
        options.get_in_force_ = [this]
        {
            return std::atomic_load(&release_);
        };
        options.on_newest_release_ = [this](const release& newest)
        {
            submit_release(newest);
        };
        register_release_routes(
            operator_server_, acceptor_, note_limits(), options);
    }

    void submit_release(const release& newest)
    {
        release_document document;
        document.version_ = newest.version_;
        document.text_ = write_release(newest);
        document.digest_ = document_digest(document.text_);
        control_->submit_release(std::move(document));
    }

    release_version version_in_force() const
    {
        const auto current_release = std::atomic_load(&release_);
        return current_release ? current_release->version_ : 0;
    }

    void add_state_route(const std::string& path,
                         std::string (*render)(const daemon_state&))
    {
        operator_server_.add_route("GET",
                                   path,
                                   [this, render](const operator_request&)
                                   {
                                       operator_response response;
                                       response.body_ = render(read_state());
                                       return response;
                                   });
    }

    daemon_state read_state() const
    {
        const auto usage = read_process_usage();
        daemon_state state;
        state.phase_ = graceful_stop_.phase();
        state.ready_ = is_ready();
        state.uptime_ = monotonic_now() - started_at_;
        state.cpu_time_ = usage.cpu_time_;
        state.resident_bytes_ = usage.resident_bytes_;
        state.release_ = std::atomic_load(&release_);
        state.fleet_ = std::atomic_load(&fleet_);
        if (control_)
        {
            state.control_ = control_->read_state();
        }
        if (registry_)
        {
            state.registry_ = registry_->state();
            state.control_.self_ = self_description(settings_);
            state.control_.now_ = monotonic_now();
            state.control_.current_release_ = state.registry_->version_;
            state.control_.platform_answered_at_ =
                state.registry_->answered_at_;
        }
        state.requests_ = request_path_->statistics();
        state.latency_ = latency_;
        for (const auto outcome : {call_outcome::answered,
                                   call_outcome::not_run,
                                   call_outcome::unknown})
        {
            state.durations_[outcome] = recorder_.histogram(outcome);
        }
        state.probes_sent_ = prober_ ? prober_->sent() : 0;
        return state;
    }

    void report_contact()
    {
        const auto now = monotonic_now();
        const auto contact = control_->last_contact();
        isolation_ = observe_contact(isolation_, contact, now);
        request_path_->record_refresh(contact);
        request_path_->set_isolated(is_isolated(isolation_, now));
    }

    void collect_latency()
    {
        recorder_.collect();
        const auto now = monotonic_now();
        if (now - latency_window_started_at_ >= latency_window)
        {
            latency_ = recorder_.end_window();
            latency_window_started_at_ = now;
        }
    }

    void watch_signals()
    {
        signals_.async_wait(
            [this](const boost::system::error_code& error, int number)
            {
                if (error)
                {
                    return;
                }
                if (number == SIGHUP)
                {
                    reload();
                }
                else
                {
                    log_event(log_level::info, "stop_requested")
                        .field("signal", number)
                        .write();
                    graceful_stop_.request();
                }
                watch_signals();
            });
    }

    // Reloads the settings file. Only the log level changes in a running
    // process; if the file is invalid, the old settings stay in force.
    void reload()
    {
        const auto reloaded = read_settings_file(settings_file_);
        if (!reloaded.ok())
        {
            log_event(log_level::error, "settings_refused")
                .field("error", reloaded.status())
                .write();
            return;
        }
        configure_logging(reloaded->logs().level_, settings_.vm().name_);
        log_event(log_level::info, "settings_reloaded")
            .field("changed", *reloaded != settings_)
            .write();
    }

    stop_actions make_stop_actions()
    {
        stop_actions actions;
        actions.fail_readiness_ = [this](milliseconds left)
        {
            request_path_->begin_drain(left);
        };
        actions.leave_fleet_ = [this]
        {
            leave_fleet();
        };
        actions.stop_accepting_ = [this]
        {
            request_path_->stop_accepting();
        };
        actions.finish_calls_ = [this](milliseconds left)
        {
            return request_path_->finish(left);
        };
        actions.has_operator_work_ = [this]
        {
            return acceptor_.running_count() != 0;
        };
        actions.exit_process_ = [this]
        {
            stop_event_loop();
        };
        return actions;
    }

    void leave_fleet()
    {
        if (control_ == nullptr)
        {
            return;
        }
        control_->begin_leave(
            []
            {
                log_event(log_level::info, "fleet_left").write();
            });
        prober_->relinquish();
    }

    void stop_event_loop()
    {
        boost::system::error_code ignored;
        signals_.cancel(ignored);
        operator_server_.stop();
        readiness_server_.stop();
        context_.stop();
    }

    template <typename Work>
    void schedule_repeating(asio::steady_timer& timer,
                            milliseconds interval,
                            Work work)
    {
        timer.expires_after(to_duration(interval));
        timer.async_wait(
            [this, &timer, interval, work](const timer_result& error)
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
    asio::io_context context_{1};
    asio::signal_set signals_;
    asio::steady_timer contact_report_timer_{context_};
    asio::steady_timer latency_collection_timer_{context_};
    asio::steady_timer return_check_timer_{context_};
    operator_server operator_server_;
    operator_server readiness_server_;
    platform_client platform_;
    release_acceptor acceptor_;
    latency_recorder recorder_;
    latency_summary latency_;
    milliseconds latency_window_started_at_ = monotonic_now();
    isolation_state isolation_;
    std::atomic<bool> ready_{false};
    std::atomic<bool> has_release_{false};
    std::atomic<bool> has_targets_{false};
    // Written by the control thread, or by the operator thread if releases come
    // from the store; read by the operator thread. Accessed only by
    // std::atomic_load and std::atomic_store.
    std::shared_ptr<const release> release_;
    std::shared_ptr<const fleet_view> fleet_;
    std::unique_ptr<request_path> request_path_;
    // One of the two is the source of releases and targets; the other is null.
    std::unique_ptr<control_plane> control_;
    std::unique_ptr<registry_control> registry_;
    std::unique_ptr<target_prober> prober_;
    // Declared after everything its actions refer to, so that it is destroyed
    // before them.
    graceful_stop graceful_stop_{context_,
                                 apply_platform_bounds(settings_.shutdown()),
                                 make_stop_actions()};
    target_return_monitor return_monitor_{context_,
                                          settings_.vm().name_,
                                          [this](const target_notice& notice)
                                          {
                                              apply_and_report_notice(notice);
                                          }};
};

daemon::daemon(std::unique_ptr<implementation> value)
    : implementation_(std::move(value))
{
}

daemon::~daemon() = default;

absl::StatusOr<std::unique_ptr<daemon>>
daemon::start(const settings& value, const std::string& settings_file)
{
    auto started = std::make_unique<implementation>(value, settings_file);
    if (auto status = started->start(); !status.ok())
    {
        return status;
    }
    return std::unique_ptr<daemon>(new daemon(std::move(started)));
}

int daemon::run()
{
    return implementation_->run();
}

} // namespace anvilturn
