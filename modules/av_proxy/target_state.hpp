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
#include <string>
#include <utility>

namespace anvilturn
{

// What this VM counts and observes of one target, or of one VM that calls are
// forwarded to. All threads share it; each member is read and written by
// itself, and a choice that sees one newer than the other is still a valid
// choice. Points in time are of the monotonic clock, negative for never.
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
    // Failures in a row that eject the target.
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
    // Whether the last health check was answered that the target is unwell.
    std::atomic<bool> reports_unhealthy_{false};
    // How long the target keeps an idle connection; zero if it did not say.
    std::atomic<double> idle_limit_ms_{0.0};
    // Whether another target answered at this address.
    std::atomic<bool> address_taken_over_{false};

    std::atomic<int> probed_load_{-1};
    std::atomic<double> probed_at_ms_{-1.0};

    // Members of a concurrency_limit; zero before the first answer.
    std::atomic<double> limit_{0.0};
    std::atomic<double> base_latency_ms_{0.0};

    // Members of an outlier_state, and whole answers since it was last judged.
    std::atomic<int> error_streak_{0};
    std::atomic<double> error_share_{0.0};
    std::atomic<int> ejections_{0};
    std::atomic<double> ejected_until_ms_{0.0};
    std::atomic<int> answers_{0};
    // Since when the target is in slow start; negative if it is not.
    std::atomic<double> slow_start_since_ms_{-1.0};

    // Connections in a row that failed, and until when none is tried.
    std::atomic<int> failed_connections_{0};
    std::atomic<double> unreachable_until_ms_{-1.0};

    std::atomic<double> answered_at_ms_{-1.0};
    // When a sign of leaving was seen; negative while there is none.
    std::atomic<double> draining_since_ms_{-1.0};
};

// What holds for all targets at the moment of a choice.
struct eligibility_input
{
    milliseconds now_;
    // Points that freshness_facts names.
    milliseconds resumed_at_{-1.0};
    milliseconds refreshed_at_{-1.0};
    bool isolated_ = false;
};

// Takes one of the target's places for this VM. Returns false, and takes
// none, if this VM has the limit's number of calls there.
bool try_acquire_slot(target_state& state, int limit) noexcept;

// Gives the place back.
void release_slot(target_state& state) noexcept;

// Records that a call goes to the target now.
void record_sent(target_state& state) noexcept;

// Records the header of an answer. Returns whether it is the first sign that
// the target leaves.
bool record_answer(target_state& state,
                   const load_report* report,
                   bool draining,
                   milliseconds now) noexcept;

// Records what a target answered when it was asked for its load.
void record_load_response(target_state& state,
                          const load_report& report,
                          milliseconds now) noexcept;

// Records the time that a good answer took and adapts the number of calls that
// the target gets at once.
void record_latency(target_state& state,
                    milliseconds latency,
                    int slots) noexcept;

// Records whether an attempt failed. Failures in a row, or a large share of
// them, eject the target for a while; see after_result.
void record_result(target_state& state, bool failed, milliseconds now) noexcept;

// Records an attempt that the target refused for want of room.
void record_refusal(target_state& state, int slots) noexcept;

// Records that no connection could be made; none is tried for a while, longer
// each time. Nothing has left for the target by such an attempt.
void record_unreachable(target_state& state, milliseconds now) noexcept;

// Returns what is known of the target's failures, and records a judgement.
outlier_state outlier_of(const target_state& state) noexcept;
void store_outlier(target_state& state,
                   const outlier_state& value,
                   milliseconds now) noexcept;

// Takes up what another VM or a probe learned.
void apply_notice(target_state& state,
                  const target_notice& notice,
                  milliseconds now) noexcept;

// Whether a target may get new work, but for ejection, which depends on the
// other targets; see exclude_outliers.
enum class target_eligibility
{
    eligible,
    // It must be heard of first, since this VM was paused.
    awaits_refresh,
    excluded
};

target_eligibility eligibility(const target_spec& spec,
                               const target_state& state,
                               const eligibility_input& moment) noexcept;

// Returns what a policy sees of the target. Eligibility and the limit are the
// caller's to fill in.
target_view view_of(const target_spec& spec,
                    const target_state& state,
                    milliseconds now) noexcept;

// Returns the number of calls that the adaptive limit allows.
int adaptive_limit(const target_state& state, int slots) noexcept;

// Returns what operators are shown of the target.
target_statistics target_statistics_of(const target_spec& spec,
                                       const target_state& state,
                                       milliseconds now);

} // namespace anvilturn

#endif
