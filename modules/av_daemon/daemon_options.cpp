#include <av_daemon/daemon_options.hpp>

#include <av_daemon/grantors.hpp>
#include <av_daemon/platform_bounds.hpp>
#include <av_platform/platform_keys.hpp>
#include <av_routing/choice_policy.hpp>

#include <absl/strings/str_join.h>

namespace anvilturn
{

platform_client_options platform_options(const settings& value)
{
    platform_client_options options;
    options.address_ = value.platform().address_;
    options.call_timeout_ = value.platform().call_timeout_;
    return options;
}

request_path_settings path_settings(const settings& value)
{
    const auto& section = value.request_path();
    request_path_settings path;
    path.vm_name_ = value.vm().name_;
    path.deployment_ = value.vm().deployment_;
    path.callers_address_ = value.listen().callers_;
    path.forward_address_ = value.listen().forward_;
    path.threads_ = static_cast<std::size_t>(section.threads_);
    path.connections_per_thread_ =
        section.connection_limit_ / path.threads_ + 1;
    path.limits_.header_bytes_ = section.header_limit_;
    path.limits_.body_bytes_ = section.request_body_limit_;
    path.buffered_response_bytes_ = section.buffered_response_limit_;
    path.request_timeout_ = section.request_timeout_;
    path.idle_timeout_ = section.idle_timeout_;
    path.connect_timeout_ = section.connect_timeout_;
    path.limit_bounds_ = limit_bounds_of(value);
    path.hedge_ratio_ = value.services().hedge_ratio_;
    path.regions_ = value.vm().regions_;
    return path;
}

vm_description self_description(const settings& value)
{
    vm_description self;
    self.name_ = value.vm().name_;
    self.failure_domain_ = value.vm().failure_domain_;
    self.peer_address_ = value.listen().peers_;
    self.forward_address_ = value.listen().forward_;
    self.operator_address_ = value.listen().operators_;
    return self;
}

release_limits note_limits()
{
    release_limits limits;
    limits.choice_policies_ = choice_policy_registry::instance().names();
    return limits;
}

release_acceptor_options acceptor_options(const settings& value)
{
    release_acceptor_options options;
    options.key_ = release_key(value.vm().deployment_);
    options.release_limits_ = note_limits();
    return options;
}

absl::StatusOr<const store_adapter*> configured_adapter(const settings& value)
{
    const auto& name = value.platform().adapter_;
    if (name == native_adapter)
    {
        return nullptr;
    }
    const auto& registry = store_adapter_registry::instance();
    const auto* const adapter = registry.find(name);
    if (adapter == nullptr)
    {
        return make_error(error_kind::settings_invalid,
                          "platform.adapter: " + name +
                              " is unknown; allowed: native, " +
                              absl::StrJoin(registry.names(), ", "));
    }
    return adapter;
}

store_options store_options_of(const settings& value)
{
    const auto section = apply_platform_bounds(value.services());
    store_options options;
    options.address_ = value.platform().address_;
    options.call_timeout_ = value.platform().call_timeout_;
    options.evacuations_ = value.platform().evacuations_;
    auto& defaults = options.service_defaults_;
    defaults.choice_policy_ = section.choice_policy_;
    defaults.retry_ratio_ = section.retry_ratio_;
    defaults.retry_burst_ = section.retry_burst_;
    defaults.queue_limit_ = section.queue_limit_;
    defaults.ejecting_failures_ = section.ejecting_failures_;
    return options;
}

operator_server_options readiness_options(const settings& value)
{
    operator_server_options options;
    options.address_ = value.listen().readiness_;
    return options;
}

operator_server_options operator_options(const settings& value)
{
    operator_server_options options;
    options.address_ = value.listen().operators_;
    return options;
}

} // namespace anvilturn
