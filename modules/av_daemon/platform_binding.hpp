#ifndef AV_DAEMON_PLATFORM_BINDING_HPP
#define AV_DAEMON_PLATFORM_BINDING_HPP

#include <av_control/control_platform.hpp>
#include <av_platform/platform_client_options.hpp>

#include <string>

namespace anvilturn
{

// Returns the factory of the control plane's calls to the platform. The calls
// are made by a separate client on the control plane's thread.
platform_factory bind_platform(const platform_client_options& options,
                               const std::string& deployment);

} // namespace anvilturn

#endif
