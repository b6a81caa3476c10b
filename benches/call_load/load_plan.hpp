#ifndef BENCHES_CALL_LOAD_LOAD_PLAN_HPP
#define BENCHES_CALL_LOAD_LOAD_PLAN_HPP

#include <av_core/milliseconds.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace anvilturn
{

// Arrival rate from this offset into the run until the next step.
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

// A stream of calls of one kind.
struct stream_spec
{
    std::string name_;
    std::string host_;
    // Service whose central queue and targets get the calls with --central;
    // the host if not given.
    std::string service_;
    std::string path_ = "/";
    std::string method_ = "GET";
    bool idempotent_ = false;
    // Rates of the Poisson arrivals, ordered by start offset.
    std::vector<rate_step> rates_;
    // Mean of the service times that the calls request from their targets.
    milliseconds service_time_{5.0};
    time_distribution distribution_ = time_distribution::exponential;
    std::size_t response_bytes_ = 256;
    std::size_t body_bytes_ = 0;
    // Sent as Anvilturn-Deadline-Ms unless zero.
    milliseconds deadline_{0.0};
};

// Everything that determines which calls are made and when.
struct load_plan
{
    std::uint64_t seed_ = 1;
    milliseconds duration_{1000.0};
    std::vector<stream_spec> streams_;
};

// One scheduled call.
struct arrival
{
    milliseconds start_offset_{0.0};
    std::uint32_t stream_index_ = 0;
    std::uint32_t sequence_number_ = 0;
    // Selects the VM, or the target of a direct call, that gets the call.
    std::uint32_t balancer_random_value_ = 0;
    float service_ms_ = 0.0F;
};

// Reads a plan from a YAML file; throws YAML::Exception or std::runtime_error
// on invalid input.
load_plan read_load_plan(const std::string& path);

// Generates all calls of a plan, ordered by start offset. The same plan gives
// the same calls, whatever they are sent to.
std::vector<arrival> generate_arrivals(const load_plan& plan);

} // namespace anvilturn

#endif
