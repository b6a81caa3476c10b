#ifndef POLICY_BENCH_WORKLOAD_HPP
#define POLICY_BENCH_WORKLOAD_HPP

#include "bench_settings.hpp"

#include <av_model/traffic_class.hpp>

#include <vector>

// One call as it will arrive, whatever the policy.
struct planned_call
{
    double arrival_ms_ = 0.0;
    int vm_ = 0;
    double service_ms_ = 0.0;
    anvilturn::traffic_class class_ = anvilturn::traffic_class::interactive;
};

// One pause of one target.
struct planned_stall
{
    double start_ms_ = 0.0;
    int target_ = 0;
    double length_ms_ = 0.0;
};

// What happens to one service from outside: the same for every policy.
struct workload
{
    service_model service_;
    std::vector<planned_call> calls_;
    std::vector<planned_stall> stalls_;
};

// Draws the workload of one service. The same settings and number give the
// same workload.
workload generate_workload(const bench_settings& settings, int service_number);

#endif
