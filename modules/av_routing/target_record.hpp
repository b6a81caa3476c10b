#ifndef AV_ROUTING_TARGET_RECORD_HPP
#define AV_ROUTING_TARGET_RECORD_HPP

#include <av_core/milliseconds.hpp>
#include <av_model/load_report.hpp>
#include <av_routing/outlier.hpp>
#include <av_routing/target_view.hpp>

#include <vector>

namespace anvilturn
{

// What one VM (or one thread of it) has learned of one target. Updated by the
// functions below on each call, answer, report and probe. Points in time are
// of the monotonic clock.
struct target_record
{
    // Calls sent and not yet answered or given up.
    int in_flight_ = 0;
    // Newest load report, as busy slots plus queued calls; negative if none.
    int reported_load_ = -1;
    milliseconds reported_at_{0.0};
    int in_flight_at_report_ = 0;
    int sent_since_report_ = 0;
    // Smoothed time of a good call; zero before the first one.
    milliseconds latency_{0.0};
    int answers_ = 0;
    int probed_load_ = -1;
    milliseconds probed_at_{0.0};
    // Since when the target counts as new, for slow start.
    milliseconds slow_start_since_{0.0};
    bool in_slow_start_ = false;
    outlier_state outlier_;
};

// How one attempt ended.
struct attempt_result
{
    milliseconds latency_{0.0};
    // The answer says that the call failed, or there was no answer.
    bool failed_ = false;
    // The time says nothing of the target: cancelled or refused at once.
    bool latency_is_valid_ = true;
};

// Returns the record after a call was sent.
target_record after_send(target_record record) noexcept;

// Returns the record after the attempt ended in whatever way. Pass the load
// that stood on the answer to after_report afterwards.
target_record after_attempt(target_record record,
                            const attempt_result& result,
                            milliseconds now) noexcept;

// Returns the record after a load report that was written the age ago.
target_record after_report(target_record record,
                           const load_report& report,
                           milliseconds age,
                           milliseconds now) noexcept;

// Returns the record after a probe's result that was written the age ago; an
// older result than the known one changes nothing.
target_record after_probe(target_record record,
                          const load_report& report,
                          milliseconds age,
                          milliseconds now) noexcept;

// What the release says of a target, as a choice needs it.
struct target_properties
{
    bool same_domain_ = true;
    bool takes_new_work_ = true;
    int slots_ = 6;
    int local_limit_ = 6;
    // Length of slow start.
    milliseconds slow_start_time_{2000.0};
};

// Returns what a policy may see of the target now. Ejection is not applied
// here, since its floor needs all targets: see apply_ejections.
target_view view_of(const target_record& record,
                    const target_properties& facts,
                    milliseconds now) noexcept;

// Makes the ejected targets ineligible, within the floor of limit_ejections.
// Views and records are of the same targets in the same order.
void apply_ejections(std::vector<target_view>& views,
                     const std::vector<target_record>& records,
                     milliseconds now);

// Ejects the targets whose latency is out of line with the median, and
// returns how many. Call it a few times a second.
int eject_stragglers(std::vector<target_record>& records, milliseconds now);

} // namespace anvilturn

#endif
