#ifndef POLICY_BENCH_WORKLOAD_HPP
#define POLICY_BENCH_WORKLOAD_HPP

#include "bench_settings.hpp"

#include <av_model/traffic_class.hpp>

#include <vector>

// The arrival of one call, which does not depend on the scheme.
struct planned_call
{
    double arrival_ms_ = 0.0;
    int vm_ = 0;
    double service_ms_ = 0.0;
    anvilturn::traffic_class class_ = anvilturn::traffic_class::interactive;
};

// One stall of one target.
struct planned_stall
{
    double start_ms_ = 0.0;
    int target_ = 0;
    double length_ms_ = 0.0;
};

// The calls and stalls of one service, the same for every scheme.
struct workload
{
    service_model service_;
    std::vector<planned_call> calls_;
    std::vector<planned_stall> stalls_;
};

// Generates the workload of one service at random. The same settings and
// service number give the same workload.
workload generate_workload(const bench_settings& settings, int service_number);

#endif
