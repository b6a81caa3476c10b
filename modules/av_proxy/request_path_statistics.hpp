#ifndef AV_PROXY_REQUEST_PATH_STATISTICS_HPP
#define AV_PROXY_REQUEST_PATH_STATISTICS_HPP

#include <av_core/comparison.hpp>
#include <av_core/error.hpp>
#include <av_core/milliseconds.hpp>
#include <av_model/release.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace anvilturn
{

// This VM's view of one target.
struct target_statistics
{
    std::string target_;
    std::string service_;
    std::string address_;
    int local_in_flight_ = 0;
    int local_limit_ = 0;
    int connections_ = 0;
    // Busy slots plus queued calls in the newest load report; negative if there
    // was none.
    int reported_load_ = -1;
    // Age of that report; negative if there was none.
    milliseconds report_age_{-1.0};
    milliseconds latency_;
    int probed_load_ = -1;
    int consecutive_failures_ = 0;
    bool draining_ = false;
    bool ejected_ = false;
    std::uint64_t sent_ = 0;

    // Returns all members, for comparison.
    auto tie() const
    {
        return std::tie(target_,
                        service_,
                        address_,
                        local_in_flight_,
                        local_limit_,
                        connections_,
                        reported_load_,
                        report_age_,
                        latency_,
                        probed_load_,
                        consecutive_failures_,
                        draining_,
                        ejected_,
                        sent_);
    }
};

// This VM's view of one service.
struct service_statistics
{
    std::string service_;
    // Calls that wait at this VM for a slot of a target.
    int waiting_ = 0;
    // The dispatcher VM of the service for this failure domain; empty if each
    // VM dispatches by itself.
    std::string dispatcher_vm_;

    // Returns all members, for comparison.
    auto tie() const
    {
        return std::tie(service_, waiting_, dispatcher_vm_);
    }
};

// Calls of one account by outcome.
struct account_statistics
{
    // Empty for all accounts together that are not counted by name.
    std::string account_;
    std::uint64_t answered_ = 0;
    std::uint64_t not_run_ = 0;
    std::uint64_t unknown_ = 0;

    // Returns all members, for comparison.
    auto tie() const
    {
        return std::tie(account_, answered_, not_run_, unknown_);
    }
};

// The request path's counters, services and targets at one point in time.
// Counts are since the start of the process.
struct request_path_statistics
{
    release_version release_version_ = 0;
    std::uint64_t answered_ = 0;
    std::uint64_t not_run_ = 0;
    std::uint64_t unknown_ = 0;
    // Calls that were forwarded to the dispatcher VM of their service.
    std::uint64_t forwarded_ = 0;
    // Attempts after the first one of each call.
    std::uint64_t extra_attempts_ = 0;
    // Second sends of calls that were running, those that responded before the
    // first attempt, and calls for which a budget prevented one.
    std::uint64_t hedges_sent_ = 0;
    std::uint64_t hedges_won_ = 0;
    std::uint64_t hedges_suppressed_ = 0;
    // Calls that did not end with the outcome answered, by reason.
    std::map<error_kind, std::uint64_t> reasons_;
    int calls_in_flight_ = 0;
    int caller_connections_ = 0;
    std::vector<service_statistics> services_;
    std::vector<target_statistics> targets_;
    // At most max_counted_accounts by name, and the others as one.
    std::vector<account_statistics> accounts_;

    // Returns all members, for comparison.
    auto tie() const
    {
        return std::tie(release_version_,
                        answered_,
                        not_run_,
                        unknown_,
                        forwarded_,
                        extra_attempts_,
                        hedges_sent_,
                        hedges_won_,
                        hedges_suppressed_,
                        reasons_,
                        calls_in_flight_,
                        caller_connections_,
                        services_,
                        targets_,
                        accounts_);
    }
};

} // namespace anvilturn

#endif
