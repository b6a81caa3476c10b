#include "scheme.hpp"

#include <algorithm>
#include <stdexcept>

namespace
{

// Returns a scheme in which the VM that a call arrives at chooses its target.
scheme make_scheme(std::string name, std::string policy)
{
    scheme result;
    result.name_ = std::move(name);
    result.policy_ = std::move(policy);
    return result;
}

std::vector<scheme> make_schemes()
{
    std::vector<scheme> result;
    result.push_back(make_scheme("central", "home_dispatch"));
    result.back().location_ = dispatch_location::central;
    for (const char* baseline : {"random", "round_robin", "two_choices"})
    {
        result.push_back(make_scheme(baseline, baseline));
        result.back().ejects_outliers_ = false;
    }
    result.push_back(make_scheme("hot_cold_probing", "hot_cold_probing"));
    result.back().probes_per_second_ = 1.0;
    result.back().ejects_outliers_ = false;
    result.push_back(make_scheme("hot_cold_probing_often", "hot_cold_probing"));
    result.back().probes_per_second_ = 4.0;
    result.back().ejects_outliers_ = false;
    result.push_back(make_scheme("least_load", "least_load"));
    result.push_back(make_scheme("least_load_shared", "least_load"));
    result.back().share_interval_ms_ = 10.0;
    result.push_back(make_scheme("subsets", "least_load"));
    result.back().subset_size_ = 4;
    result.push_back(make_scheme("reserved_shares", "least_load"));
    result.back().reserves_slots_ = true;
    result.push_back(make_scheme("region_home", "home_dispatch"));
    result.back().location_ = dispatch_location::region_dispatcher;
    result.push_back(make_scheme("home_dispatch", "home_dispatch"));
    result.back().location_ = dispatch_location::domain_dispatcher;
    result.push_back(make_scheme("home_dispatch_shared", "home_dispatch"));
    result.back().location_ = dispatch_location::domain_dispatcher;
    result.back().dispatcher_share_interval_ms_ = 10.0;
    result.push_back(make_scheme("home_dispatch_hedged", "home_dispatch"));
    result.back().location_ = dispatch_location::domain_dispatcher;
    result.back().hedges_ = true;
    return result;
}

} // namespace

const std::vector<scheme>& all_schemes()
{
    static const std::vector<scheme> schemes = make_schemes();
    return schemes;
}

const scheme& find_scheme(const std::string& name)
{
    const auto& schemes = all_schemes();
    const auto found = std::find_if(schemes.begin(),
                                    schemes.end(),
                                    [&](const scheme& each)
                                    {
                                        return each.name_ == name;
                                    });
    if (found == schemes.end())
    {
        throw std::out_of_range("unknown scheme: " + name);
    }
    return *found;
}
