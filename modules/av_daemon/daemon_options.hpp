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

// These functions derive the options of each part of the daemon from the
// settings of the VM.

// Returns the options of the client that reaches the platform.
platform_client_options platform_options(const settings& value);

// Returns the settings of the request path.
request_path_settings path_settings(const settings& value);

// Returns the description of this VM that peers receive. The incarnation
// is zero; the control plane sets it when it starts.
vm_description self_description(const settings& value);

// Returns the limits of release notes: the allowed choice policies are those
// registered in this program.
release_limits note_limits();

// Returns the options for accepting release notes.
release_acceptor_options acceptor_options(const settings& value);

// Returns the store adapter that the settings name: null for the native
// platform interface, settings_invalid if this program has no such adapter.
absl::StatusOr<const store_adapter*> configured_adapter(const settings& value);

// Returns how the adapter reaches the platform's store, and the defaults of
// services with the platform's bounds applied.
store_options store_options_of(const settings& value);

// Returns the options of the server for the balancer's readiness check.
operator_server_options readiness_options(const settings& value);

// Returns the options of the operator server.
operator_server_options operator_options(const settings& value);

} // namespace anvilturn

#endif
