#ifndef AV_DAEMON_DAEMON_OPTIONS_HPP
#define AV_DAEMON_DAEMON_OPTIONS_HPP

#include <av_acceptor/release_acceptor.hpp>
#include <av_feed/store_adapter.hpp>
#include <av_model/vm_description.hpp>
#include <av_operator/operator_server_options.hpp>
#include <av_platform/platform_client_options.hpp>
#include <av_proxy/request_path_settings.hpp>
#include <av_release/release_limits.hpp>
#include <av_settings/settings.hpp>

namespace anvilturn
{

// What the settings of a VM mean for each part of the daemon.

// Returns how this VM reaches the platform.
platform_client_options platform_options(const settings& value);

// Returns what the request path is started with.
request_path_settings path_settings(const settings& value);

// Returns this VM as its peers know it; the incarnation is drawn later.
vm_description self_description(const settings& value);

// Returns what a release note may hold in this program: its policies are those
// that are registered.
release_limits note_limits();

// Returns how release notes are accepted.
release_acceptor_options acceptor_options(const settings& value);

// Returns the adapter that the settings name; null for the project's own
// interface, settings_invalid for one that this program has not.
absl::StatusOr<const store_adapter*> configured_adapter(const settings& value);

// Returns how the adapter reaches the platform's store, and what holds for
// services within the platform's bounds.
store_options store_options_of(const settings& value);

// Returns where the balancer's readiness check is answered.
operator_server_options readiness_options(const settings& value);

// Returns where operators reach this VM.
operator_server_options operator_options(const settings& value);

} // namespace anvilturn

#endif
