// Uses the installed library from outside the project: prints the names of the
// registered choice policies. Exit status 1 if there is none.

#include <av_core/av_core.hpp>
#include <av_routing/choice_policy.hpp>

#include <iostream>

int main()
{
    const auto& policies = anvilturn::choice_policy_registry::instance();
    for (const auto& name : policies.names())
    {
        std::cout << "policy=" << name << '\n';
    }
    return policies.names().empty() ? 1 : 0;
}
