#include <av_platform/platform_keys.hpp>

namespace anvilturn
{
namespace
{

std::string key_of(const std::string& deployment, const char* name)
{
    return "anvilturn/" + deployment + "/" + name;
}

} // namespace

std::string release_key(const std::string& deployment)
{
    return key_of(deployment, "release");
}

std::string probe_leases_key(const std::string& deployment)
{
    return key_of(deployment, "probe-seats");
}

} // namespace anvilturn
