#ifndef POLICY_BENCH_SCHEME_HPP
#define POLICY_BENCH_SCHEME_HPP

#include <string>
#include <vector>

// The VM that chooses the target of a call.
enum class dispatch_location
{
    // The VM that the call arrived at.
    arrival,
    // The dispatcher VM of the service in the arrival VM's failure domain.
    domain_dispatcher,
    // One dispatcher VM of the service for all failure domains.
    region_dispatcher,
    // An omniscient central queue that adds no delay: the best case that the
    // other schemes are compared with.
    central
};

// How the VMs share the dispatching of calls, and the choice policy they use.
struct scheme
{
    std::string name_;
    std::string policy_;
    dispatch_location location_ = dispatch_location::arrival;
    // Interval at which each VM sends its newest load reports to the other VMs
    // of its failure domain; zero for never.
    double share_interval_ms_ = 0.0;
    // Number of targets that one VM uses; zero for all.
    int subset_size_ = 0;
    // Whether each VM may use only a fixed share of each target's slots: one,
    // the minimum.
    bool reserves_slots_ = false;
    // Probes per second that each VM sends to each target.
    double probes_per_second_ = 0.0;
    // Interval at which the dispatcher VMs send each other the load of the
    // targets of their local failure domains; zero for never.
    double dispatcher_share_interval_ms_ = 0.0;
    bool ejects_outliers_ = true;
    // Whether calls are hedged after p95 of the latency, as an alternative to
    // av_limits/hedging. The model treats all calls as idempotent.
    bool hedges_ = false;
};

// Returns the scheme with the name; throws std::out_of_range if there is none.
const scheme& find_scheme(const std::string& name);

const std::vector<scheme>& all_schemes();

#endif
