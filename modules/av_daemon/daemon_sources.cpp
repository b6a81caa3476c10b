#include <av_daemon/daemon_implementation.hpp>

#include <av_core/log_event.hpp>
#include <av_daemon/daemon_options.hpp>
#include <av_daemon/platform_binding.hpp>
#include <av_release/release_codec.hpp>

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace anvilturn
{
namespace
{

// Interval at which the control plane's last contact, and how current its state
// is, are reported to the request path.
constexpr milliseconds contact_report_interval{50.0};
// Interval at which targets marked as leaving are checked for their return.
constexpr milliseconds return_check_interval{3000.0};

} // namespace

absl::Status
daemon::implementation::start_configuration_source(const store_adapter* adapter)
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

absl::Status
daemon::implementation::start_registry(const store_adapter& adapter)
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
        fleet_grants_.set_targets(targets);
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

absl::Status daemon::implementation::start_control()
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

void daemon::implementation::apply_and_report_notice(
    const target_notice& notice)
{
    if (request_path_->apply(notice))
    {
        control_->report(notice);
    }
}

void daemon::implementation::check_target_returns()
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

void daemon::implementation::report_contact()
{
    const auto now = monotonic_now();
    const auto contact = control_->last_contact();
    isolation_ = observe_contact(isolation_, contact, now);
    request_path_->record_refresh(control_->current_at());
    request_path_->set_isolated(is_isolated(isolation_, now));
}

} // namespace anvilturn
