#include <av_daemon/daemon.hpp>

#include <av_core/log_event.hpp>
#include <av_daemon/daemon_implementation.hpp>
#include <av_daemon/daemon_options.hpp>
#include <av_net/event_loop.hpp>
#include <av_proxy/request_path_builder.hpp>
#include <av_settings/settings_reader.hpp>

#include <csignal>
#include <utility>

namespace anvilturn
{
namespace
{

namespace asio = boost::asio;

// Interval at which latencies are collected from the request path.
constexpr milliseconds latency_collection_interval{500.0};
// The window over which latency percentiles are computed.
constexpr milliseconds latency_window{10000.0};

} // namespace

daemon::implementation::implementation(const settings& value,
                                       std::string settings_file)
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
    , fleet_grants_(context_,
                    value,
                    [this]
                    {
                        return std::atomic_load(&release_);
                    })
{
}

daemon::implementation::~implementation()
{
    // The control plane's handlers refer to the request path and to this
    // object.
    control_.reset();
}

absl::Status daemon::implementation::start()
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
    if (auto status = fleet_grants_.start(); !status.ok())
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

int daemon::implementation::run()
{
    run_event_loop(context_, "main");
    return graceful_stop_.exit_code();
}

absl::Status
daemon::implementation::start_request_path(const store_adapter* adapter)
{
    auto path = path_settings(settings_);
    if (adapter != nullptr)
    {
        path.dialect_ = adapter->dialect_();
    }
    path.permits_ = fleet_grants_.client_options();
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

absl::Status daemon::implementation::start_servers()
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

bool daemon::implementation::is_ready() const
{
    return ready_ && graceful_stop_.phase() == shutdown_phase::serving;
}

void daemon::implementation::update_readiness()
{
    const bool ready = has_release_ && (registry_ == nullptr || has_targets_);
    if (!ready_.exchange(ready) && ready)
    {
        request_path_->set_ready(true);
        log_event(log_level::info, "vm_ready").write();
    }
}

void daemon::implementation::apply_release(std::shared_ptr<const release> value)
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

void daemon::implementation::collect_latency()
{
    recorder_.collect();
    const auto now = monotonic_now();
    if (now - latency_window_started_at_ >= latency_window)
    {
        latency_ = recorder_.end_window();
        latency_window_started_at_ = now;
    }
}

void daemon::implementation::watch_signals()
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

void daemon::implementation::reload()
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

stop_actions daemon::implementation::make_stop_actions()
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

void daemon::implementation::leave_fleet()
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

void daemon::implementation::stop_event_loop()
{
    boost::system::error_code ignored;
    signals_.cancel(ignored);
    operator_server_.stop();
    readiness_server_.stop();
    context_.stop();
}

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
