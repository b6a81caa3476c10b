#include <av_daemon/daemon_implementation.hpp>

#include <av_acceptor/release_routes.hpp>
#include <av_control/document_digest.hpp>
#include <av_daemon/daemon_options.hpp>
#include <av_daemon/metrics_page.hpp>
#include <av_daemon/process_usage.hpp>
#include <av_daemon/state_dump.hpp>
#include <av_release/release_codec.hpp>

#include <utility>

namespace anvilturn
{

operator_response daemon::implementation::make_readiness_response() const
{
    constexpr unsigned ready_status = 200;
    constexpr unsigned unready_status = 503;
    const bool ready = is_ready();
    operator_response response;
    response.status_ = ready ? ready_status : unready_status;
    response.body_ = ready ? "ready\n" : "not ready\n";
    return response;
}

void daemon::implementation::add_routes()
{
    add_state_route("/v1/dump", render_dump);
    add_state_route("/v1/vms", render_vms);
    add_state_route("/v1/targets", render_targets);
    add_state_route("/v1/release/status", render_release_status);
    operator_server_.add_route(
        "GET",
        "/metrics",
        [this](const operator_request&)
        {
            operator_response response;
            response.content_type_ = "text/plain; version=0.0.4";
            response.body_ = render_exposition(collect_metrics(read_state()));
            return response;
        });
}

void daemon::implementation::add_release_routes()
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

void daemon::implementation::submit_release(const release& newest)
{
    release_document document;
    document.version_ = newest.version_;
    document.text_ = write_release(newest);
    document.digest_ = document_digest(document.text_);
    control_->submit_release(std::move(document));
}

release_version daemon::implementation::version_in_force() const
{
    const auto current_release = std::atomic_load(&release_);
    return current_release ? current_release->version_ : 0;
}

void daemon::implementation::add_state_route(
    const std::string& path, std::string (*render)(const daemon_state&))
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

daemon_state daemon::implementation::read_state() const
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
        state.control_.platform_answered_at_ = state.registry_->answered_at_;
    }
    state.fleet_limits_ = fleet_grants_.state();
    state.requests_ = request_path_->statistics();
    state.latency_ = latency_;
    for (const auto outcome :
         {call_outcome::answered, call_outcome::not_run, call_outcome::unknown})
    {
        state.durations_[outcome] = recorder_.histogram(outcome);
    }
    state.probes_sent_ = prober_ ? prober_->sent() : 0;
    return state;
}

} // namespace anvilturn
