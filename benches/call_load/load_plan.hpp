#ifndef BENCHES_CALL_LOAD_LOAD_PLAN_HPP
#define BENCHES_CALL_LOAD_LOAD_PLAN_HPP

#include <av_core/milliseconds.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace anvilturn
{

// From this time on, calls arrive at this rate.
struct rate_step
{
    milliseconds start_offset_{0.0};
    double calls_per_second_ = 0.0;
};

enum class time_distribution
{
    exponential,
    fixed,
    lognormal
};

// One kind of call.
struct stream_spec
{
    std::string name_;
    std::string host_;
    // Which targets serve it under a central queue; the host if not given.
    std::string service_;
    std::string path_ = "/";
    std::string method_ = "GET";
    bool idempotent_ = false;
    // Poisson arrivals; the steps are in order of time.
    std::vector<rate_step> rates_;
    // Mean of the service time that each call asks of its target.
    milliseconds service_time_{5.0};
    time_distribution distribution_ = time_distribution::exponential;
    std::size_t response_bytes_ = 256;
    std::size_t body_bytes_ = 0;
    // Sent as Anvilturn-Deadline-Ms unless zero.
    milliseconds deadline_{0.0};
};

// All that decides which calls are made and when.
struct load_plan
{
    std::uint64_t seed_ = 1;
    milliseconds duration_{1000.0};
    std::vector<stream_spec> streams_;
};

// One call to come.
struct arrival
{
    milliseconds start_offset_{0.0};
    std::uint32_t stream_index_ = 0;
    std::uint32_t sequence_number_ = 0;
    // Decides which VM the balancer gives the call to.
    std::uint32_t balancer_random_value_ = 0;
    float service_ms_ = 0.0F;
};

// Reads a plan; throws YAML::Exception or std::runtime_error on bad input.
load_plan read_load_plan(const std::string& path);

// Draws all calls of a plan, in order of time. The same plan gives the same
// calls, whatever they are sent to.
std::vector<arrival> generate_arrivals(const load_plan& plan);

} // namespace anvilturn

#endif
