#ifndef STANDINS_FAKE_TARGET_TARGET_OPTIONS_HPP
#define STANDINS_FAKE_TARGET_TARGET_OPTIONS_HPP

#include <av_core/milliseconds.hpp>

#include <cstdint>
#include <string>

namespace anvilturn
{

// Distribution of service times.
enum class service_distribution
{
    exponential,
    fixed,
    lognormal
};

// Initial settings of a target.
struct target_options
{
    std::string name_;
    // Calls that run concurrently.
    int slots_ = 6;
    int connection_limit_ = 330;
    milliseconds connect_delay_{1.0};
    // Mean for calls that do not request a service time (service_ms).
    milliseconds mean_service_time_{5.0};
    service_distribution distribution_ = service_distribution::exponential;
    // Initial factor on service times; falls linearly to 1 over the duration of
    // slow start.
    double slow_start_factor_ = 1.0;
    milliseconds slow_start_duration_{0.0};
    // Calls are refused while more than this number are queued; negative for
    // never.
    int shed_above_ = -1;
    // Age of the load that /health and /load report.
    milliseconds report_lag_{500.0};
    milliseconds probe_service_time_{6.0};
    // Time from the start of draining in which calls are still accepted.
    milliseconds drain_grace_{500.0};
    // Mean rate of pauses of all slots, as caused by a noisy neighbour.
    double pauses_per_second_ = 0.0;
    milliseconds min_pause_{2.0};
    milliseconds max_pause_{20.0};
    std::uint64_t seed_ = 1;
};

// How calls fail without taking a slot.
enum class fail_fast_kind
{
    none,
    // Responds 500 at once.
    error,
    // Resets the connection at once.
    reset
};

// Faults that can be changed while the target runs.
struct target_faults
{
    // Factor on service times.
    double slowdown_ = 1.0;
    bool draining_ = false;
    fail_fast_kind fail_fast_ = fail_fast_kind::none;
    // Refuses calls as not run after reading the whole body.
    bool refuse_after_body_ = false;
    // Runs the call and then responds that it did not run, to show that the
    // checks of the execution log can fail.
    bool false_not_run_ = false;
    // Closes a kept-alive connection without a response when its next request
    // arrives.
    bool close_idle_ = false;
    // Sends about half of the announced body, then closes the connection.
    bool truncate_ = false;
    // Sends another call's response after the response.
    bool extra_response_ = false;
    // Sends two different Content-Length fields.
    bool conflicting_lengths_ = false;
    // Delay of responses after the slot was freed.
    milliseconds response_delay_{0.0};
    // Neither handles requests nor completes calls until cleared.
    bool frozen_ = false;
    // Reports no load, whatever the load is.
    bool reports_idle_ = false;
    // Closes the listening socket; open connections stay open.
    bool closed_listener_ = false;
    // Fraction of calls to which the per-call faults apply, 0 to 1.
    double fault_share_ = 1.0;
};

} // namespace anvilturn

#endif
