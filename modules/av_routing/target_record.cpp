#include <av_routing/target_record.hpp>

#include <av_routing/slow_start.hpp>

#include <algorithm>
#include <cassert>
#include <cstddef>

namespace anvilturn
{

namespace
{

constexpr double latency_weight = 0.1;
// Answers of a target before its latency is compared with others.
constexpr int min_responses = 5;
// The same for a target that was ejected before.
constexpr int min_responses_after_ejection = 2;

milliseconds smoothed(milliseconds old, milliseconds latency) noexcept
{
    if (old.count() <= 0.0)
    {
        return latency;
    }
    return old + (latency - old) * latency_weight;
}

int total_load(const load_report& report) noexcept
{
    return report.busy_slots_ + report.queued_calls_;
}

} // namespace

target_record after_send(target_record record) noexcept
{
    ++record.in_flight_;
    ++record.sent_since_report_;
    return record;
}

target_record after_attempt(target_record record,
                            const attempt_result& result,
                            milliseconds now) noexcept
{
    assert(record.in_flight_ > 0);
    --record.in_flight_;
    const bool was_out = is_ejected(record.outlier_, now);
    record.outlier_ = after_result(record.outlier_, result.failed_, now);
    if (!was_out && is_ejected(record.outlier_, now))
    {
        record.in_slow_start_ = true;
        record.slow_start_since_ = record.outlier_.ejected_until_;
    }
    if (!result.failed_ && result.latency_is_valid_)
    {
        record.latency_ = smoothed(record.latency_, result.latency_);
        ++record.answers_;
    }
    return record;
}

target_record after_report(target_record record,
                           const load_report& report,
                           milliseconds age,
                           milliseconds now) noexcept
{
    const auto written_at = now - age;
    if (record.reported_load_ >= 0 && written_at < record.reported_at_)
    {
        return record;
    }
    record.reported_load_ = total_load(report);
    record.reported_at_ = written_at;
    record.in_flight_at_report_ = record.in_flight_;
    record.sent_since_report_ = 0;
    return record;
}

target_record after_probe(target_record record,
                          const load_report& report,
                          milliseconds age,
                          milliseconds now) noexcept
{
    const auto written_at = now - age;
    if (record.probed_load_ >= 0 && written_at < record.probed_at_)
    {
        return record;
    }
    record.probed_load_ = total_load(report);
    record.probed_at_ = written_at;
    return record;
}

target_view view_of(const target_record& record,
                    const target_properties& facts,
                    milliseconds now) noexcept
{
    target_view view;
    view.eligible_ = facts.takes_new_work_;
    view.same_domain_ = facts.same_domain_;
    view.slots_ = facts.slots_;
    view.local_in_flight_ = record.in_flight_;
    view.local_limit_ = facts.local_limit_;
    view.reported_load_ = record.reported_load_;
    view.report_age_ = now - record.reported_at_;
    view.local_in_flight_at_report_ = record.in_flight_at_report_;
    view.sent_since_report_ = record.sent_since_report_;
    view.latency_ = record.latency_;
    view.probed_load_ = record.probed_load_;
    view.probe_age_ = now - record.probed_at_;
    if (record.in_slow_start_)
    {
        view.slow_start_weight_ = slow_start_weight(
            now - record.slow_start_since_, facts.slow_start_time_);
    }
    return view;
}

void apply_ejections(std::vector<target_view>& views,
                     const std::vector<target_record>& records,
                     milliseconds now)
{
    assert(views.size() == records.size());
    const auto out = [now](const target_record& record)
    {
        return is_ejected(record.outlier_, now);
    };
    if (std::none_of(records.begin(), records.end(), out))
    {
        return;
    }
    std::vector<ejection_candidate> candidates;
    candidates.reserve(views.size());
    for (std::size_t i = 0; i < views.size(); ++i)
    {
        const int slots = views[i].eligible_ ? views[i].slots_ : 0;
        candidates.push_back(
            {out(records[i]), records[i].outlier_.ejected_until_, slots});
    }
    const auto ejected = limit_ejections(candidates);
    for (std::size_t i = 0; i < views.size(); ++i)
    {
        views[i].eligible_ = views[i].eligible_ && !ejected[i];
    }
}

int eject_stragglers(std::vector<target_record>& records, milliseconds now)
{
    std::vector<milliseconds> latencies;
    for (const auto& record : records)
    {
        if (record.answers_ >= min_responses)
        {
            latencies.push_back(record.latency_);
        }
    }
    const auto median = median_latency(latencies);
    int count = 0;
    for (auto& record : records)
    {
        const int needed = record.outlier_.ejections_ > 0
                               ? min_responses_after_ejection
                               : min_responses;
        const bool judged =
            record.answers_ >= needed && !is_ejected(record.outlier_, now);
        if (judged && is_straggler(record.latency_, median))
        {
            record.outlier_ = after_straggler_ejection(record.outlier_, now);
            record.in_slow_start_ = true;
            record.slow_start_since_ = record.outlier_.ejected_until_;
            // It is judged anew after its return.
            record.answers_ = 0;
            record.latency_ = milliseconds(0.0);
            ++count;
        }
    }
    return count;
}

} // namespace anvilturn
