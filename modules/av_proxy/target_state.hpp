#ifndef AV_PROXY_TARGET_STATE_HPP
#define AV_PROXY_TARGET_STATE_HPP

#include <av_core/milliseconds.hpp>
#include <av_model/load_report.hpp>
#include <av_model/target_notice.hpp>
#include <av_model/target_spec.hpp>
#include <av_proxy/freshness.hpp>
#include <av_proxy/request_path_statistics.hpp>
#include <av_routing/outlier.hpp>
#include <av_routing/target_view.hpp>

#include <atomic>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>

namespace anvilturn
{

// Counters and observations of this VM about one target, or about one VM that
// calls are forwarded to. All threads share it. Each member is read and written
// on its own; a choice that sees some members newer than others is still valid.
// Points in time are of the monotonic clock; negative means never.
struct target_state
{
    target_state(std::string name,
                 std::string address,
                 std::int64_t incarnation = 0)
        : name_(std::move(name))
        , address_(std::move(address))
        , incarnation_(incarnation)
    {
    }

    const std::string name_;
    const std::string address_;
    // See target_spec.
    const std::int64_t incarnation_;
    // Number of consecutive failures that ejects the target.
    std::atomic<int> ejecting_streak_{default_ejecting_streak};

    std::atomic<int> local_in_flight_{0};
    std::atomic<int> connections_{0};
    std::atomic<std::uint64_t> sent_{0};
    std::atomic<double> latency_ms_{0.0};

    std::atomic<int> reported_load_{-1};
    std::atomic<double> reported_at_ms_{-1.0};
    std::atomic<int> local_in_flight_at_report_{0};
    std::atomic<int> sent_since_report_{0};
    std::atomic<double> reported_slowdown_{1.0};
    // Whether the response to the last load query said that the target is
    // unhealthy (a status other than 200).
    std::atomic<bool> reports_unhealthy_{false};
    // Time for which the target keeps an idle connection open; zero if it has
    // not reported one.
    std::atomic<double> idle_limit_ms_{0.0};
    // The target is cold until this point in time.
    std::atomic<double> cold_until_ms_{-1.0};
    // When a health response last said how long the target is cold.
    std::atomic<double> cold_reported_at_ms_{-1.0};
    // Whether the last log line about it said that the target is cold.
    std::atomic<bool> logged_as_cold_{false};
    // Whether another target responded at this address.
    std::atomic<bool> address_taken_over_{false};

    std::atomic<int> probed_load_{-1};
    std::atomic<double> probed_at_ms_{-1.0};

    // Members of a concurrency_limit; zero before the first response.
    std::atomic<double> limit_{0.0};
    std::atomic<double> base_latency_ms_{0.0};

    // Members of an outlier_state, and the number of complete responses since
    // the last ejection.
    std::atomic<int> error_streak_{0};
    std::atomic<double> error_share_{0.0};
    std::atomic<int> ejections_{0};
    std::atomic<double> ejected_until_ms_{0.0};
    std::atomic<int> responses_since_ejection_{0};
    // When the slow start of the target begins; negative if there is none.
    std::atomic<double> slow_start_since_ms_{-1.0};

    // Number of consecutive failed connection attempts, and the time before
    // which no further one is made.
    std::atomic<int> failed_connections_{0};
    std::atomic<double> unreachable_until_ms_{-1.0};

    std::atomic<double> answered_at_ms_{-1.0};
    // When the target last showed that it is draining; negative if it did not.
    std::atomic<double> draining_seen_at_ms_{-1.0};
};

// Input of eligibility that is the same for all targets of a choice.
struct eligibility_input
{
    milliseconds now_;
    // See freshness_input.
    milliseconds resumed_at_{-1.0};
    milliseconds refreshed_at_{-1.0};
    bool isolated_ = false;
};

// Acquires one of the slots that this VM may use at the target. Returns false,
// and acquires none, if this VM already has as many calls in flight there as
// the limit.
bool try_acquire_slot(target_state& state, int limit) noexcept;

// Releases the slot.
void release_slot(target_state& state) noexcept;

// Records that a call is being sent to the target.
void record_sent(target_state& state) noexcept;

// Records the header of a response. Returns whether it is the first sign that
// the target is draining.
bool record_response(target_state& state,
                     const load_report* report,
                     bool draining,
                     milliseconds now) noexcept;

// Records the load that a target reported in its response to a load query.
void record_load_response(target_state& state,
                          const load_report& report,
                          milliseconds now) noexcept;

// Where information comes from on how long a target is cold.
enum class coldness_source
{
    store_entry,
    health_response
};

// Records how much longer the target is cold. The information that arrives last
// is used, except that a store entry, which may have been on its way for a
// while, does not shorten the time by a recent health response. Logs when the
// target becomes cold or warm.
void record_coldness(target_state& state,
                     milliseconds cold_for,
                     coldness_source source,
                     milliseconds now);

// Returns whether the target is cold. Logs if it has become warm since the last
// call.
bool is_cold(target_state& state, milliseconds now);

// Records the latency of a successful response and adapts the concurrency limit
// of the target.
void record_latency(target_state& state,
                    milliseconds latency,
                    int slots) noexcept;

// Records whether an attempt failed. Consecutive failures, or a high share of
// failures, eject the target for a while; see after_result.
void record_result(target_state& state, bool failed, milliseconds now) noexcept;

// Records an attempt that the target refused for lack of capacity.
void record_refusal(target_state& state, int slots) noexcept;

// Records that no connection could be established. No further one is tried for
// a backoff time that grows with each consecutive failure. Such an attempt has
// sent nothing to the target.
void record_unreachable(target_state& state, milliseconds now) noexcept;

// Return and store the outlier state of the target: its failures and its
// ejection. A new ejection is followed by slow start.
outlier_state outlier_of(const target_state& state) noexcept;
void store_outlier(target_state& state,
                   const outlier_state& value,
                   milliseconds now) noexcept;

// Applies what another VM or a probe observed. Returns when the target last
// showed that it is draining if the notice says that it serves but is older.
std::optional<milliseconds> apply_notice(target_state& state,
                                         const target_notice& notice,
                                         milliseconds now) noexcept;

// Whether a target may get new calls, apart from ejection, which depends on the
// other targets; see exclude_outliers.
enum class target_eligibility
{
    eligible,
    // This VM was paused and has no information about the target since.
    awaits_refresh,
    excluded
};

// Returns whether the target gets no new calls because it is leaving, or
// because another one answers at its address.
bool is_leaving_or_replaced(const target_spec& spec,
                            const target_state& state) noexcept;

target_eligibility eligibility(const target_spec& spec,
                               const target_state& state,
                               const eligibility_input& input) noexcept;

// Returns what a policy sees of the target, without its eligibility and its
// concurrency limit, which depend on more than the target.
target_view view_of(const target_spec& spec,
                    const target_state& state,
                    milliseconds now) noexcept;

// Returns the number of concurrent calls that the adaptive limit allows.
int adaptive_limit(const target_state& state, int slots) noexcept;

// Returns the statistics of the target that are shown to operators.
target_statistics target_statistics_of(const target_spec& spec,
                                       const target_state& state,
                                       milliseconds now);

} // namespace anvilturn

#endif
