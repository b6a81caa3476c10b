#ifndef STANDINS_FAKE_TARGET_TARGET_OPTIONS_HPP
#define STANDINS_FAKE_TARGET_TARGET_OPTIONS_HPP

#include <av_core/milliseconds.hpp>

#include <cstdint>
#include <string>

namespace anvilturn
{

enum class service_distribution
{
    exponential,
    fixed,
    lognormal
};

// What a target is like from its start.
struct target_options
{
    std::string name_;
    int slots_ = 6;
    int connection_limit_ = 330;
    milliseconds connect_delay_{1.0};
    // Mean of calls that ask for no service time of their own.
    milliseconds mean_service_time_{5.0};
    service_distribution distribution_ = service_distribution::exponential;
    // Factor on service times at the start, which falls to 1 over the time.
    double slow_start_factor_ = 1.0;
    milliseconds slow_start_duration_{0.0};
    // Calls are refused while more than this number wait; negative for never.
    int shed_above_ = -1;
    // Age of what /health and /load show.
    milliseconds report_lag_{500.0};
    milliseconds probe_service_time_{6.0};
    // Time after the start of a drain in which calls are still taken.
    milliseconds drain_grace_{500.0};
    // Pauses of all slots, as by a noisy neighbour.
    double pauses_per_second_ = 0.0;
    milliseconds min_pause_{2.0};
    milliseconds max_pause_{20.0};
    std::uint64_t seed_ = 1;
};

enum class fail_fast_kind
{
    none,
    // Answers 500 at once.
    error,
    // Resets the connection at once.
    reset
};

// Faults that can be switched while the target runs.
struct target_faults
{
    // Factor on service times.
    double slowdown_ = 1.0;
    bool draining_ = false;
    fail_fast_kind fail_fast_ = fail_fast_kind::none;
    // Refuses with "not run" once the whole body was read.
    bool refuse_after_body_ = false;
    // Runs the call and then says that it did not run: shows that the checks
    // of the execution log can fail.
    bool false_not_run_ = false;
    // Closes a connection that was idle when its next request arrives.
    bool close_idle_ = false;
    // Ends the answer before its announced length.
    bool truncate_ = false;
    // Sends bytes of another answer after the answer.
    bool extra_response_ = false;
    // Announces two different lengths.
    bool conflicting_lengths_ = false;
    // Holds answers back for this time after the slot was freed.
    milliseconds response_delay_{0.0};
    bool frozen_ = false;
    // Reports an idle target whatever its load.
    bool reports_idle_ = false;
    // No longer accepts connections.
    bool closed_listener_ = false;
    // Share of the calls that the faults of single calls strike.
    double fault_share_ = 1.0;
};

} // namespace anvilturn

#endif
