#ifndef POLICY_BENCH_SERVICE_RUN_HPP
#define POLICY_BENCH_SERVICE_RUN_HPP

#include "bench_settings.hpp"
#include "scheme.hpp"
#include "workload.hpp"

#include <av_model/traffic_class.hpp>

#include <array>
#include <cstdint>
#include <vector>

// What one run of one scheme on one service gave.
struct run_result
{
    // Time from arrival at the VM to the answer at that VM, for good answers
    // within the deadline.
    std::vector<double> latencies_ms_;
    // The part of it that is not the call's own service time: waiting, pauses,
    // slowness of the target and the ways between the machines.
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

// Plays the workload of one service under the scheme. Service numbers matter
// for the choice of homes only.
run_result run_service(const bench_settings& settings,
                       const scheme& chosen_scheme,
                       const workload& service_workload);

#endif
