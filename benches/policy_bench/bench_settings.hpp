#ifndef POLICY_BENCH_BENCH_SETTINGS_HPP
#define POLICY_BENCH_BENCH_SETTINGS_HPP

#include <cstdint>
#include <string>
#include <vector>

// One service as the bench models it. Targets stand in the failure domains in
// turn.
struct service_model
{
    std::string name_;
    int targets_ = 6;
    int slots_ = 6;
    double mean_service_ms_ = 20.0;
};

// The machines and the network between them. Delays are one way.
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
    // One target takes ten times as long for each call.
    straggler,
    // One target fails each call at once.
    fast_fail,
    // One target refuses each call at once, as not run.
    shedding,
    // One target is new at first and slow until it is warm.
    cold_start,
    // The load changes between 0.6 and 1.4 of its mean within milliseconds.
    step,
    // The VM that dispatches the service in the first domain is gone, and the
    // others learn it later.
    home_loss
};

struct bench_settings
{
    deployment_model deployment_;
    double load_ = 0.8;
    double seconds_ = 20.0;
    std::uint64_t seed_ = 1;
    // Standard deviation of the logarithm of a service time.
    double service_time_sigma_ = 0.7;
    // Pauses of a target by a noisy neighbour: how many a second, and how long.
    double stalls_per_second_ = 2.0;
    double min_stall_ms_ = 2.0;
    double max_stall_ms_ = 20.0;
    double deadline_ms_ = 2000.0;
    int queue_limit_ = 512;
    fault_kind fault_ = fault_kind::none;
    // Whether the calls are of all classes, or all of one.
    bool mixed_classes_ = false;
};

// Today's deployments and one region at the size of the design.
deployment_model hanoi();
deployment_model kuala_lumpur();
deployment_model design_deployment();

#endif
