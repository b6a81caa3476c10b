#ifndef AV_SETTINGS_SETTINGS_SECTIONS_HPP
#define AV_SETTINGS_SETTINGS_SECTIONS_HPP

#include <av_core/comparison.hpp>
#include <av_core/log_event.hpp>
#include <av_core/milliseconds.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace anvilturn
{

// The sections of the settings are plain structs. The field tables of
// settings_fields.hpp define their ranges, which settings_builder checks.

// Identity of this VM.
struct vm_settings
{
    // Unique among the VMs of the deployment.
    std::string name_;
    std::string failure_domain_;
    // VMs of other deployments are refused as peers.
    std::string deployment_;
    // Peer addresses of some other VMs, which this VM contacts first. They let
    // it find its peers and the release while the platform is down.
    std::vector<std::string> seed_peers_;
    // The region of each failure domain. One that is missing belongs to none.
    std::map<std::string, std::string> regions_;

    // Returns all members, for comparison.
    auto tie() const
    {
        return std::tie(
            name_, failure_domain_, deployment_, seed_peers_, regions_);
    }
};

// Listen addresses of this VM, as IP address and port; all must differ.
struct listen_settings
{
    std::string callers_;
    // For calls that other VMs forward to this one; not used with a platform
    // adapter.
    std::string forward_;
    // For control messages between VMs; not used with a platform adapter.
    std::string peers_;
    // For anvilturnctl and metrics; never the callers' address.
    std::string operators_;
    // For the readiness check of the balancer in front of the VMs, if it does
    // not use the callers' address.
    std::string readiness_;
    std::string readiness_path_ = "/ready";
    // For requests of VMs for permits of the limits that hold for all VMs.
    std::string grants_;

    // Returns all members, for comparison.
    auto tie() const
    {
        return std::tie(callers_,
                        forward_,
                        peers_,
                        operators_,
                        readiness_,
                        readiness_path_,
                        grants_);
    }
};

// The adapter of VMs that obtain their peers and releases through the native
// platform interface and from each other.
constexpr const char* native_adapter = "native";

// Access to the platform.
struct platform_settings
{
    std::string address_;
    milliseconds call_timeout_{2000.0};
    // How often targets renew their entries in the platform's registry.
    milliseconds target_heartbeat_interval_{1500.0};
    // Name of the plug-in that implements the platform's protocol, or
    // native_adapter.
    std::string adapter_ = native_adapter;
    // Whether operators can evacuate failure domains by entries of the
    // platform's store. If not, these are not read.
    bool evacuations_ = false;

    // Returns all members, for comparison.
    auto tie() const
    {
        return std::tie(address_,
                        call_timeout_,
                        target_heartbeat_interval_,
                        adapter_,
                        evacuations_);
    }
};

// Defaults for services that are configured through a platform adapter. They
// apply where the adapter's configuration does not give a value.
struct service_settings
{
    std::string choice_policy_ = "ask_first";
    // Allowed ratio of extra attempts (retries and hedges) to first attempts.
    double retry_ratio_ = 0.1;
    // Ratio that the platform allows all VMs together, which takes precedence
    // over retry_ratio_; zero if the platform sets none.
    double fleet_retry_ratio_ = 0.0;
    // Maximum number of extra attempts of one VM in a burst.
    double retry_burst_ = 1.5;
    // Allowed ratio of hedges to the calls of a service; zero disables them.
    double hedge_ratio_ = 0.0;
    // Calls that may be queued at one VM.
    int queue_limit_ = 512;
    // Consecutive failures after which a target is ejected.
    int ejecting_failures_ = 3;

    // Returns all members, for comparison.
    auto tie() const
    {
        return std::tie(choice_policy_,
                        retry_ratio_,
                        fleet_retry_ratio_,
                        retry_burst_,
                        hedge_ratio_,
                        queue_limit_,
                        ejecting_failures_);
    }
};

// The platform's bounds for the limits that hold for all VMs together, see
// docs/OPERATIONS.md.
struct fleet_limit_settings
{
    // Length of the window in which an account's calls are bounded, in seconds;
    // zero if accounts are not limited.
    double account_window_s_ = 0.0;
    // The calls of a window may exceed what the account is entitled to by this
    // ratio, and by this number in addition.
    double account_overrun_ = 0.0;
    double account_slack_ = 0.0;
    // The calls that a cold target may get per second, as a multiple of its
    // service's rate, and in addition to it. A multiple of zero if cold targets
    // are not limited.
    double cold_overrun_ = 0.0;
    double cold_slack_ = 0.0;

    // Returns whether there is any limit.
    bool is_enabled() const
    {
        return account_window_s_ > 0.0 || cold_overrun_ > 0.0;
    }

    // Returns all members, for comparison.
    auto tie() const
    {
        return std::tie(account_window_s_,
                        account_overrun_,
                        account_slack_,
                        cold_overrun_,
                        cold_slack_);
    }
};

// Limits of the request path. Sizes are in bytes.
struct request_settings
{
    int threads_ = 2;
    // Concurrent connections of callers.
    std::uint64_t connection_limit_ = 4096;
    // For the header of a request or of a response.
    std::uint64_t header_limit_ = 16'384;
    std::uint64_t request_body_limit_ = 1'048'576;
    // A response up to this size is buffered until it is complete, so that the
    // call can be retried on another target if it fails; zero streams responses
    // at once. The key is held_answer.
    std::uint64_t buffered_response_limit_ = 0;
    // Time after which a caller's connection without a call is closed.
    milliseconds idle_timeout_{60000.0};
    // Time to receive a complete request header, and the longest pause within a
    // body.
    milliseconds request_timeout_{10000.0};
    // Time to connect to a target or VM.
    milliseconds connect_timeout_{1000.0};

    // Returns all members, for comparison.
    auto tie() const
    {
        return std::tie(threads_,
                        connection_limit_,
                        header_limit_,
                        request_body_limit_,
                        buffered_response_limit_,
                        idle_timeout_,
                        request_timeout_,
                        connect_timeout_);
    }
};

// Graceful shutdown of the VM, see docs/OPERATIONS.md.
struct shutdown_settings
{
    // Time for which the platform's balancer may still send callers after the
    // readiness check fails.
    milliseconds balancer_lag_{5000.0};
    // Maximum time from the signal to the exit.
    milliseconds deadline_{30000.0};
    // Time from the signal until the platform kills the process, in seconds,
    // which takes precedence over deadline_; zero if it does not kill it.
    double killed_after_s_ = 0.0;

    // Returns all members, for comparison.
    auto tie() const
    {
        return std::tie(balancer_lag_, deadline_, killed_after_s_);
    }
};

// Log output of the daemon.
struct log_settings
{
    log_level level_ = log_level::info;

    // Returns all members, for comparison.
    auto tie() const
    {
        return std::tie(level_);
    }
};

} // namespace anvilturn

#endif
