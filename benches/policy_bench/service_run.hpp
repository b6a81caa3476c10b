#ifndef POLICY_BENCH_SERVICE_RUN_HPP
#define POLICY_BENCH_SERVICE_RUN_HPP

#include "bench_settings.hpp"
#include "scheme.hpp"
#include "workload.hpp"

#include <av_model/traffic_class.hpp>

#include <array>
#include <cstdint>
#include <vector>

// Result of one run of one scheme on one service. Calls that arrive in the
// initial transient are left out of the latencies and the call outcomes.
struct run_result
{
    // Time from the arrival at the VM to the response at that VM, for
    // successful calls that met their deadline.
    std::vector<double> latencies_ms_;
    // The latency without the call's own service time: queueing, stalls,
    // slowdown of the target and network delays.
    std::vector<double> excess_ms_;
    std::array<std::uint64_t, anvilturn::traffic_class_count> arrived_{};
    std::array<std::uint64_t, anvilturn::traffic_class_count> answered_{};
    std::uint64_t refused_ = 0;
    std::uint64_t failed_ = 0;
    std::uint64_t late_ = 0;
    std::uint64_t sent_to_other_domain_ = 0;
    std::uint64_t sent_ = 0;
    std::uint64_t waited_at_target_ = 0;
    std::uint64_t hedges_ = 0;
    std::uint64_t probes_ = 0;
    std::uint64_t share_messages_ = 0;
    double simulated_seconds_ = 0.0;
    int targets_ = 0;
    int slots_ = 0;
};

// Simulates the workload of one service under the scheme. The service's name
// matters only for the choice of its dispatcher VMs.
run_result run_service(const bench_settings& settings,
                       const scheme& chosen_scheme,
                       const workload& service_workload);

#endif
