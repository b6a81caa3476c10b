#ifndef AV_PLATFORM_PLATFORM_KEYS_HPP
#define AV_PLATFORM_PLATFORM_KEYS_HPP

#include <string>

namespace anvilturn
{

// Returns the platform's key of the release of a deployment.
std::string release_key(const std::string& deployment);

// Returns the platform's key of the leases of a deployment's probe seats.
std::string probe_leases_key(const std::string& deployment);

} // namespace anvilturn

#endif
