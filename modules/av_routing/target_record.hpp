#ifndef AV_ROUTING_TARGET_RECORD_HPP
#define AV_ROUTING_TARGET_RECORD_HPP

#include <av_core/milliseconds.hpp>
#include <av_model/load_report.hpp>
#include <av_routing/outlier.hpp>
#include <av_routing/target_view.hpp>

#include <vector>

namespace anvilturn
{

// State of one target as one VM (or one thread of it) knows it. Updated by the
// functions below on each call, response, report and probe. Points in time are
// of the monotonic clock.
struct target_record
{
    // Calls sent and not yet answered or abandoned.
    int in_flight_ = 0;
    // Newest load report, as busy slots plus queued calls; negative if none.
    int reported_load_ = -1;
    milliseconds reported_at_{0.0};
    int in_flight_at_report_ = 0;
    int sent_since_report_ = 0;
    // Smoothed time of a successful call; zero before the first one.
    milliseconds latency_{0.0};
    int response_count_ = 0;
    int probed_load_ = -1;
    milliseconds probed_at_{0.0};
    // Start of the ramp-up for slow start.
    milliseconds slow_start_since_{0.0};
    bool in_slow_start_ = false;
    outlier_state outlier_;
};

// How one attempt ended.
struct attempt_result
{
    milliseconds latency_{0.0};
    // The response reports a failure, or there was no response.
    bool failed_ = false;
    // False if the latency is not that of a served call, as for a call that was
    // cancelled or refused at once.
    bool latency_is_valid_ = true;
};

// Returns the record after a call was sent.
target_record after_send(target_record record) noexcept;

// Returns the record after the attempt ended in any way. Pass the load report
// of the response to after_report afterwards.
target_record after_attempt(target_record record,
                            const attempt_result& result,
                            milliseconds now) noexcept;

// Returns the record after a load report that was written this long ago; a
// report older than the known one changes nothing.
target_record after_report(target_record record,
                           const load_report& report,
                           milliseconds age,
                           milliseconds now) noexcept;

// Returns the record after a probe result that was written this long ago; a
// result older than the known one changes nothing.
target_record after_probe(target_record record,
                          const load_report& report,
                          milliseconds age,
                          milliseconds now) noexcept;

// Properties of a target by the release, as needed for a choice.
struct target_properties
{
    bool same_domain_ = true;
    bool takes_new_work_ = true;
    int slots_ = 6;
    int local_limit_ = 6;
    // Length of the ramp-up in slow start.
    milliseconds slow_start_time_{2000.0};
};

// Returns the view of the target for a choice at this time. Ejection is not
// applied here, since its limit depends on all targets: see apply_ejections.
target_view view_of(const target_record& record,
                    const target_properties& properties,
                    milliseconds now) noexcept;

// Makes the ejected targets ineligible, as far as limit_ejections allows. Views
// and records are of the same targets in the same order.
void apply_ejections(std::vector<target_view>& views,
                     const std::vector<target_record>& records,
                     milliseconds now);

// Ejects the targets whose latency is an outlier compared with the median, and
// returns their number. Call it a few times a second.
int eject_stragglers(std::vector<target_record>& records, milliseconds now);

} // namespace anvilturn

#endif
