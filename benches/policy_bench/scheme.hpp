#ifndef POLICY_BENCH_SCHEME_HPP
#define POLICY_BENCH_SCHEME_HPP

#include <string>
#include <vector>

// Which VM chooses the target of a call.
enum class dispatch_location
{
    // The VM that the call arrived at.
    arrival,
    // The home of the service in the arrival VM's failure domain.
    domain_dispatcher,
    // One home of the service for all domains.
    region_dispatcher,
    // An omniscient central queue without any delay of its own: the bound.
    central
};

// One way for the VMs to act together, with the policy that they run.
struct scheme
{
    std::string name_;
    std::string policy_;
    dispatch_location location_ = dispatch_location::arrival;
    // Each VM sends its newest reports to the VMs of its domain this often;
    // zero for never.
    double share_interval_ms_ = 0.0;
    // Targets that one VM uses; zero for all.
    int subset_size_ = 0;
    // Whether a VM gets a fixed share of each target's slots, at least one.
    bool reserves_slots_ = false;
    // Probes a second that each VM sends to each target.
    double probes_per_second_ = 0.0;
    // Whether homes tell each other the load of their own domain's targets.
    double dispatcher_share_interval_ms_ = 0.0;
    bool ejects_outliers_ = true;
    // Whether slow calls get a second attempt; all calls count as idempotent.
    bool hedges_ = false;
};

// Returns the scheme of the name; throws std::out_of_range if there is none.
const scheme& find_scheme(const std::string& name);

const std::vector<scheme>& all_schemes();

#endif
