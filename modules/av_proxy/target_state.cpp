#include <av_proxy/target_state.hpp>

#include <av_core/log_event.hpp>
#include <av_limits/concurrency_limit.hpp>
#include <av_routing/slow_start.hpp>

#include <algorithm>

namespace anvilturn
{
namespace
{

constexpr auto relaxed = std::memory_order_relaxed;
constexpr double latency_smoothing_factor = 0.1;
constexpr milliseconds unreachable_backoff{500.0};
constexpr int max_unreachable_factor = 10;
constexpr milliseconds slow_start_duration{2000.0};
// Longest time that an entry of the store takes to reach a connected VM.
constexpr milliseconds max_entry_delay{2500.0};

bool increment_below(std::atomic<int>& count, int limit) noexcept
{
    auto seen = count.load(relaxed);
    while (seen < limit)
    {
        if (count.compare_exchange_weak(seen, seen + 1))
        {
            return true;
        }
    }
    return false;
}

concurrency_limit read_concurrency_limit(const target_state& state,
                                         int slots) noexcept
{
    concurrency_limit result;
    const double limit = state.limit_.load(relaxed);
    result.limit_ = limit > 0.0 ? limit : static_cast<double>(slots);
    result.base_latency_ = milliseconds(state.base_latency_ms_.load(relaxed));
    return result;
}

void update_concurrency_limit(target_state& state,
                              const limit_observation& observation,
                              int slots) noexcept
{
    const auto next = after_response(
        read_concurrency_limit(state, slots), observation, slots);
    state.limit_.store(next.limit_, relaxed);
    state.base_latency_ms_.store(next.base_latency_.count(), relaxed);
}

// Returns whether this is the first sign of draining.
bool mark_draining(target_state& state, milliseconds now) noexcept
{
    double seen_at = state.draining_seen_at_ms_.load();
    while (
        seen_at < now.count() &&
        !state.draining_seen_at_ms_.compare_exchange_weak(seen_at, now.count()))
    {
    }
    return seen_at < 0.0;
}

// Ends the exclusion of a target that served at the given time. Returns when it
// last showed that it is draining, without effect, if it did so since.
std::optional<milliseconds> clear_draining(target_state& state,
                                           double served_at_ms) noexcept
{
    double seen_at = state.draining_seen_at_ms_.load();
    while (seen_at < served_at_ms)
    {
        if (state.draining_seen_at_ms_.compare_exchange_weak(seen_at, -1.0))
        {
            return std::nullopt;
        }
    }
    return milliseconds(seen_at);
}

void store_probe(target_state& state,
                 const target_notice& notice,
                 milliseconds now) noexcept
{
    const double at = (now - notice.age_).count();
    if (at > state.probed_at_ms_.load(relaxed))
    {
        state.probed_at_ms_.store(at, relaxed);
        state.probed_load_.store(
            notice.load_.busy_slots_ + notice.load_.queued_calls_, relaxed);
    }
}

void store_report(target_state& state,
                  const load_report& report,
                  int local_in_flight,
                  milliseconds now) noexcept
{
    state.reported_load_.store(report.busy_slots_ + report.queued_calls_,
                               relaxed);
    state.local_in_flight_at_report_.store(local_in_flight, relaxed);
    state.sent_since_report_.store(0, relaxed);
    state.reported_slowdown_.store(report.slowdown_, relaxed);
    state.reported_at_ms_.store(now.count(), relaxed);
}

std::string_view name_of(coldness_source source) noexcept
{
    return source == coldness_source::store_entry ? "store_entry"
                                                  : "health_response";
}

// Logs a change between cold and warm, once for all threads.
void log_coldness(target_state& state,
                  bool cold,
                  std::string_view source,
                  milliseconds cold_for)
{
    if (state.logged_as_cold_.load(relaxed) == cold ||
        state.logged_as_cold_.exchange(cold) == cold)
    {
        return;
    }
    log_event(log_level::info, cold ? "target_cold" : "target_warm")
        .field("target", state.name_)
        .field("source", source)
        .field("cold_for_ms", cold_for.count())
        .write();
}

} // namespace

bool try_acquire_slot(target_state& state, int limit) noexcept
{
    return increment_below(state.local_in_flight_, limit);
}

void release_slot(target_state& state) noexcept
{
    state.local_in_flight_.fetch_sub(1);
}

void record_sent(target_state& state) noexcept
{
    state.sent_.fetch_add(1, relaxed);
    state.sent_since_report_.fetch_add(1, relaxed);
}

bool record_response(target_state& state,
                     const load_report* report,
                     bool draining,
                     milliseconds now) noexcept
{
    if (report != nullptr)
    {
        // The call that this response belongs to no longer occupies its slot.
        const int others =
            std::max(0, state.local_in_flight_.load(relaxed) - 1);
        store_report(state, *report, others, now);
    }
    if (draining)
    {
        return mark_draining(state, now);
    }
    state.answered_at_ms_.store(now.count(), relaxed);
    return false;
}

void record_load_response(target_state& state,
                          const load_report& report,
                          milliseconds now) noexcept
{
    store_report(state, report, state.local_in_flight_.load(relaxed), now);
    state.answered_at_ms_.store(now.count(), relaxed);
}

void record_coldness(target_state& state,
                     milliseconds cold_for,
                     coldness_source source,
                     milliseconds now)
{
    const auto until = now + cold_for;
    if (source == coldness_source::health_response)
    {
        state.cold_reported_at_ms_.store(now.count(), relaxed);
    }
    else
    {
        const double reported_at = state.cold_reported_at_ms_.load(relaxed);
        const bool reported_recently =
            reported_at >= 0.0 &&
            now - milliseconds(reported_at) <= max_entry_delay;
        if (reported_recently &&
            until.count() < state.cold_until_ms_.load(relaxed))
        {
            return;
        }
    }
    state.cold_until_ms_.store(until.count(), relaxed);
    log_coldness(state, until > now, name_of(source), cold_for);
}

bool is_cold(target_state& state, milliseconds now)
{
    const bool cold = state.cold_until_ms_.load(relaxed) > now.count();
    if (!cold)
    {
        log_coldness(state, false, "time_elapsed", milliseconds(0.0));
    }
    return cold;
}

void record_latency(target_state& state,
                    milliseconds latency,
                    int slots) noexcept
{
    const double before = state.latency_ms_.load(relaxed);
    const double next = before > 0.0 ? before + (latency.count() - before) *
                                                    latency_smoothing_factor
                                     : latency.count();
    state.latency_ms_.store(next, relaxed);
    state.responses_since_ejection_.fetch_add(1, relaxed);
    limit_observation observation;
    observation.latency_ = latency;
    observation.was_at_limit_ =
        state.local_in_flight_.load(relaxed) >=
        calls_allowed(read_concurrency_limit(state, slots));
    update_concurrency_limit(state, observation, slots);
}

void record_refusal(target_state& state, int slots) noexcept
{
    limit_observation observation;
    observation.was_refused_ = true;
    update_concurrency_limit(state, observation, slots);
}

void record_result(target_state& state, bool failed, milliseconds now) noexcept
{
    const int streak = state.ejecting_streak_.load(relaxed);
    store_outlier(
        state, after_result(outlier_of(state), failed, now, streak), now);
}

void record_unreachable(target_state& state, milliseconds now) noexcept
{
    const int streak = state.failed_connections_.fetch_add(1, relaxed) + 1;
    const auto until =
        now + unreachable_backoff * std::min(streak, max_unreachable_factor);
    state.unreachable_until_ms_.store(until.count(), relaxed);
    state.slow_start_since_ms_.store(until.count(), relaxed);
}

outlier_state outlier_of(const target_state& state) noexcept
{
    outlier_state result;
    result.error_streak_ = state.error_streak_.load(relaxed);
    result.error_share_ = state.error_share_.load(relaxed);
    result.ejections_ = state.ejections_.load(relaxed);
    result.ejected_until_ = milliseconds(state.ejected_until_ms_.load(relaxed));
    return result;
}

void store_outlier(target_state& state,
                   const outlier_state& value,
                   milliseconds now) noexcept
{
    const bool was_ejected = is_ejected(outlier_of(state), now);
    state.error_streak_.store(value.error_streak_, relaxed);
    state.error_share_.store(value.error_share_, relaxed);
    state.ejections_.store(value.ejections_, relaxed);
    if (!was_ejected && is_ejected(value, now))
    {
        state.ejected_until_ms_.store(value.ejected_until_.count(), relaxed);
        state.slow_start_since_ms_.store(value.ejected_until_.count(), relaxed);
        // Its latency is compared again only after enough new responses.
        state.responses_since_ejection_.store(0, relaxed);
    }
}

std::optional<milliseconds> apply_notice(target_state& state,
                                         const target_notice& notice,
                                         milliseconds now) noexcept
{
    const double at = (now - notice.age_).count();
    switch (notice.kind_)
    {
    case target_notice_kind::draining:
        mark_draining(state, milliseconds(std::max(0.0, at)));
        break;
    case target_notice_kind::serving:
        if (const auto seen_at = clear_draining(state, std::max(0.0, at)))
        {
            return seen_at;
        }
        state.unreachable_until_ms_.store(-1.0, relaxed);
        state.slow_start_since_ms_.store(now.count(), relaxed);
        break;
    case target_notice_kind::probed:
        store_probe(state, notice, now);
        break;
    }
    return std::nullopt;
}

bool is_leaving_or_replaced(const target_spec& spec,
                            const target_state& state) noexcept
{
    return spec.draining_ || state.address_taken_over_.load(relaxed) ||
           state.draining_seen_at_ms_.load() >= 0.0;
}

target_eligibility eligibility(const target_spec& spec,
                               const target_state& state,
                               const eligibility_input& input) noexcept
{
    if (is_leaving_or_replaced(spec, state) ||
        input.now_.count() < state.unreachable_until_ms_.load(relaxed))
    {
        return target_eligibility::excluded;
    }
    if (input.resumed_at_.count() < 0.0)
    {
        return target_eligibility::eligible;
    }
    freshness_input freshness;
    freshness.now_ = input.now_;
    freshness.resumed_at_ = input.resumed_at_;
    freshness.refreshed_at_ = input.refreshed_at_;
    freshness.answered_at_ = milliseconds(state.answered_at_ms_.load(relaxed));
    freshness.isolated_ = input.isolated_;
    return may_dispatch_to(freshness) ? target_eligibility::eligible
                                      : target_eligibility::awaits_refresh;
}

target_view view_of(const target_spec& spec,
                    const target_state& state,
                    milliseconds now) noexcept
{
    target_view view;
    view.slots_ = spec.slots_;
    view.local_in_flight_ = state.local_in_flight_.load();
    view.reported_load_ = state.reported_load_.load(relaxed);
    view.report_age_ = now - milliseconds(state.reported_at_ms_.load(relaxed));
    view.local_in_flight_at_report_ =
        state.local_in_flight_at_report_.load(relaxed);
    view.sent_since_report_ = state.sent_since_report_.load(relaxed);
    view.reported_slowdown_ = state.reported_slowdown_.load(relaxed);
    view.reports_unhealthy_ = state.reports_unhealthy_.load(relaxed);
    view.latency_ = milliseconds(state.latency_ms_.load(relaxed));
    view.probed_load_ = state.probed_load_.load(relaxed);
    view.probe_age_ = now - milliseconds(state.probed_at_ms_.load(relaxed));
    const double slow_start_since = state.slow_start_since_ms_.load(relaxed);
    if (slow_start_since >= 0.0)
    {
        view.slow_start_weight_ = slow_start_weight(
            now - milliseconds(slow_start_since), slow_start_duration);
    }
    return view;
}

int adaptive_limit(const target_state& state, int slots) noexcept
{
    return calls_allowed(read_concurrency_limit(state, slots));
}

target_statistics target_statistics_of(const target_spec& spec,
                                       const target_state& state,
                                       milliseconds now)
{
    const auto view = view_of(spec, state, now);
    target_statistics result;
    result.target_ = spec.name_;
    result.service_ = spec.service_;
    result.address_ = spec.address_;
    result.local_in_flight_ = view.local_in_flight_;
    result.local_limit_ = adaptive_limit(state, spec.slots_);
    result.connections_ = state.connections_.load(relaxed);
    result.reported_load_ = view.reported_load_;
    result.report_age_ =
        view.reported_load_ < 0 ? milliseconds(-1.0) : view.report_age_;
    result.latency_ = view.latency_;
    result.probed_load_ = view.probed_load_;
    result.consecutive_failures_ = state.error_streak_.load(relaxed);
    result.draining_ =
        spec.draining_ || state.draining_seen_at_ms_.load() >= 0.0;
    result.ejected_ = is_ejected(outlier_of(state), now) ||
                      now.count() < state.unreachable_until_ms_.load(relaxed);
    result.sent_ = state.sent_.load(relaxed);
    return result;
}

} // namespace anvilturn
