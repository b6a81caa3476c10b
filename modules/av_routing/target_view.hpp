#ifndef AV_ROUTING_TARGET_VIEW_HPP
#define AV_ROUTING_TARGET_VIEW_HPP

#include <av_core/milliseconds.hpp>

namespace anvilturn
{

// State of one target as one VM knows it at the moment of a choice. The request
// path fills a view from atomic counters for each choice; policies only read
// it.
struct target_view
{
    // Whether the target may be given new work at all: known to the release,
    // not draining, not ejected, not excluded by an earlier attempt.
    bool eligible_ = true;
    // Whether the target is in this VM's failure domain.
    bool same_domain_ = true;
    int slots_ = 6;
    // Concurrent calls at which the target has the highest throughput; at most
    // its slots.
    int best_concurrency_ = 6;
    // Calls that this VM has in flight at the target.
    int local_in_flight_ = 0;
    // Maximum number of calls that this VM may have in flight there.
    int local_limit_ = 6;
    // Busy slots plus queued calls by the newest report; negative if none.
    int reported_load_ = -1;
    milliseconds report_age_{0.0};
    // Ratio of the time that work took there by that report to its typical
    // time.
    double reported_slowdown_ = 1.0;
    // Whether this VM has an idle connection to it.
    bool has_connection_ = false;
    // Whether the target's last health check failed.
    bool reports_unhealthy_ = false;
    // Calls of this VM that were at the target when that report was written.
    int local_in_flight_at_report_ = 0;
    // Calls that this VM sent since that report was written.
    int sent_since_report_ = 0;
    // Smoothed time of a call at the target; zero if none was seen.
    milliseconds latency_{0.0};
    // Load by the newest probe, from any VM; negative if none.
    int probed_load_ = -1;
    milliseconds probe_age_{0.0};
    // Whether the target is cold, in a service that limits the calls to cold
    // targets.
    bool cold_ = false;
    // Whether the call has a permit for this target; needed only if it is cold.
    bool has_permit_ = false;
    // Weight in 0 to 1: below 1 while the target is in slow start.
    double slow_start_weight_ = 1.0;
};

} // namespace anvilturn

#endif
