#include <av_release/release_limits.hpp>

#include <av_routing/choice_policy.hpp>

namespace anvilturn
{

release_limits default_release_limits()
{
    release_limits limits;
    limits.choice_policies_ = choice_policy_registry::instance().names();
    return limits;
}

} // namespace anvilturn
