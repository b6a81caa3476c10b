#ifndef AV_PLATFORM_PLATFORM_KEYS_HPP
#define AV_PLATFORM_PLATFORM_KEYS_HPP

#include <string>

namespace anvilturn
{

// Returns the key of a deployment's release in the platform's store.
std::string release_key(const std::string& deployment);

// Returns the key of a deployment's table of probe leases in the platform's
// store.
std::string probe_leases_key(const std::string& deployment);

} // namespace anvilturn

#endif
