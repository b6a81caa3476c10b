#ifndef POLICY_BENCH_BENCH_SETTINGS_HPP
#define POLICY_BENCH_BENCH_SETTINGS_HPP

#include <cstdint>
#include <string>
#include <vector>

// One service of the model. Its targets are assigned to the failure domains
// round-robin; slots_ is the number of calls that one target runs at a time.
struct service_model
{
    std::string name_;
    int targets_ = 6;
    int slots_ = 6;
    double mean_service_ms_ = 20.0;
};

// The VMs, the services and the network between them. Delays are one-way.
struct deployment_model
{
    std::string name_;
    int vms_ = 24;
    int domains_ = 3;
    double same_domain_delay_ms_ = 0.1;
    double other_domain_delay_ms_ = 0.5;
    double probe_cost_ms_ = 6.0;
    std::vector<service_model> services_;
};

enum class fault_kind
{
    none,
    // One target takes ten times the service time for each call.
    straggler,
    // One target fails each call immediately.
    fast_fail,
    // One target refuses each call immediately, without running it.
    shedding,
    // One target is new when the run starts and slow until its ramp-up ends.
    cold_start,
    // The load jumps between 0.6 and 1.4 times its mean every 100 ms.
    step,
    // The dispatcher VM of the service in the first domain fails half-way, and
    // the other VMs detect it with a delay.
    home_loss
};

struct bench_settings
{
    deployment_model deployment_;
    double load_ = 0.8;
    double seconds_ = 20.0;
    std::uint64_t seed_ = 1;
    // Standard deviation of the logarithm of the service time.
    double service_time_sigma_ = 0.7;
    // Stalls of one target caused by a noisy neighbour: rate and length.
    double stalls_per_second_ = 2.0;
    double min_stall_ms_ = 2.0;
    double max_stall_ms_ = 20.0;
    double deadline_ms_ = 2000.0;
    int queue_limit_ = 512;
    fault_kind fault_ = fault_kind::none;
    // Whether the calls are of all traffic classes, or all interactive.
    bool mixed_classes_ = false;
};

// The existing deployments, and one region of the size that the system is
// designed for.
deployment_model hanoi();
deployment_model kuala_lumpur();
deployment_model design_deployment();

#endif
